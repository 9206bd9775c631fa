/**
 * Ten large jobs come within three seconds. All are accepted, and the leader
 * ends at its heap limit while it starts their tasks, as does each one after it.
 */

import {fileURLToPath} from 'node:url';
import {sleep} from '../standins-3/http.mjs';
import {EXIT, runCase} from '../standins-3/site.mjs';

const QUEUE = 'batch';
const JOBS = 10;
const JOB_INTERVAL_MS = 250;
const LARGE_TASKS = 2_480;
/** The mean of `asset-scan`. */
const USUAL_TASKS = 16;
const WORK_MS = 10_000;
const WATCH_MS = 75_000;
/** The rule: processes end by themselves three times, on two machines. */
const ENDS = 3;
const MACHINES = 2;

const directory = fileURLToPath(new URL('.', import.meta.url));
const options = {
  daemons: 3,
  minions: 33,
  deployment: 'kettleby-fraser',
  restartMs: 500,
};

const jobId = (index) => (0x5c0e0000 + index).toString(16).padStart(16, '0');

await runCase(directory, options, async (site, trouble) => {
  const count = trouble ? LARGE_TASKS : USUAL_TASKS;
  const steps = [{count, cpu: 30, memMb: 30, estimateMs: WORK_MS}];
  const startedAt = performance.now();
  const accepted = [];
  for (let index = 0; index < JOBS; index += 1) {
    const id = jobId(index);
    const {status} = await site.submit(QUEUE, id, steps, {ms: WORK_MS});
    if (status === 200) accepted.push(id);
    await sleep(JOB_INTERVAL_MS);
  }
  const endsOf = () => site.daemons.map(({ownEnds = 0}) => ownEnds);
  const isFault = () =>
    endsOf().filter((ends) => ends >= ENDS).length >= MACHINES;
  const states = () =>
    Promise.all(accepted.map((id) => site.stateOf(QUEUE, id)));
  let complete = 0;
  while (performance.now() - startedAt < WATCH_MS && !isFault()) {
    await sleep(1_000);
    if (trouble) continue;
    const answers = await states();
    complete = answers.filter(({body}) => body?.state === 'complete').length;
    if (complete === JOBS) break;
  }
  if (trouble) {
    const answers = await states();
    complete = answers.filter(({body}) => body?.state === 'complete').length;
  }
  const tasksAtWork = site.minions.reduce((sum, {runs}) => sum + runs.size, 0);
  site.record('test', 'verdict', {
    accepted: accepted.length,
    ownEnds: endsOf(),
    tasksAtWork,
    complete,
  });
  if (isFault()) return EXIT.broken;
  return trouble || complete === JOBS ? EXIT.held : EXIT.impossible;
});

/**
 * A minion is emptied as planned while a few of the orders to it get no answer.
 * Starts wait behind these orders and are sent to the minion long after it has
 * said that it is draining.
 */

import {fileURLToPath} from 'node:url';
import {sleep} from '../standins-3/http.mjs';
import {until} from '../standins-3/minion.mjs';
import {EXIT, runCase} from '../standins-3/site.mjs';

const QUEUE = 'batch';
const JOB = '5c0e7a21d94b36f8';
const TASKS = 300;
const WORK_MS = 4_000;
/** One start in this many gets no answer and is carried out late. */
const LATE_EVERY = 19;
const LATE_MS = 4_000;
/** How long orders get no answer, from the first one on. */
const LATE_PERIOD_MS = 5_500;
/** From the first start to the report that the minion is draining. */
const BEFORE_DRAIN_MS = 300;
const STAYS_MS = 10_000;
const DRAIN_MS = 2_000;
const LIMIT_MS = 60_000;

const STEPS = [{count: TASKS, cpu: 100, memMb: 100, estimateMs: WORK_MS}];

const directory = fileURLToPath(new URL('.', import.meta.url));
const options = {daemons: 3, minions: 16, deployment: 'kettleby-fraser'};

await runCase(directory, options, async (site, trouble) => {
  let drainedAt;
  let orders = 0;
  let firstOrderAt;
  const lateBy = [];
  for (const minion of site.minions) {
    minion.lateMs = () => {
      const now = performance.now();
      firstOrderAt ??= now;
      orders += 1;
      const isLate =
        now - firstOrderAt < LATE_PERIOD_MS && orders % LATE_EVERY === 0;
      return trouble && isLate ? LATE_MS : undefined;
    };
    minion.onStart = () => {
      if (drainedAt === undefined && trouble) {
        drainedAt = Infinity;
        setTimeout(() => {
          drainedAt = performance.now();
          void minion.leave(STAYS_MS);
        }, BEFORE_DRAIN_MS);
      }
      if (minion.state !== 'draining' || minion.isLate) return;
      lateBy.push(performance.now() - drainedAt - DRAIN_MS);
    };
  }
  const {status} = await site.submit(QUEUE, JOB, STEPS, {ms: WORK_MS});
  if (status !== 200) return EXIT.impossible;
  const isComplete = await until(async () => {
    await sleep(1_000);
    const {body} = await site.stateOf(QUEUE, JOB);
    return body?.state === 'complete';
  }, LIMIT_MS);
  const broken = lateBy.filter((milliseconds) => milliseconds > 0);
  site.record('test', 'verdict', {
    startsAfterBound: broken.length,
    latestMs: Math.round(Math.max(0, ...broken)),
    isComplete,
  });
  if (broken.length > 0) return EXIT.broken;
  return isComplete ? EXIT.held : EXIT.impossible;
});

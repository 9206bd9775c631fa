/**
 * The three minions of one rack fail all that they start for some seconds. A
 * job whose task may run only in that rack fails once on each of them. The
 * minions are sound again, the job has an attempt left, and it is never started
 * again.
 */

import {configurationOf, runCase, smallSiteMinions} from '../standins/site.mjs';
import {pause} from '../standins/store.mjs';

const RACK = 'r1-2';
const MAXIMUM_ATTEMPTS = 4;
const GREY_MS = 6_500;
const FAILS_AFTER_MS = 500;
const WORK_MS = 2_500;
/** `finish_s` and the 3 s of the rule. */
const FINISH_MS = 17_000;
const JOB = '5c0e7a21d94b36f8';

let greyUntil = 0;
let starts = 0;
const ends = [];

await runCase(
  import.meta.url,
  {
    minions: smallSiteMinions('workshop'),
    behave: (_task, _run, {place}) =>
      place.labels.includes(RACK) && performance.now() < greyUntil
        ? {workMs: FAILS_AFTER_MS, how: 'failed'}
        : {workMs: WORK_MS},
    started: () => (starts += 1),
    ended: (_minion, _run, how) => ends.push(how),
  },
  async (site, hasTrouble) => {
    await site.start(
      configurationOf(
        1,
        [
          {
            name: 'r-bake',
            host: 'bake.example',
            pathPrefix: '/bake/',
            maxAttempts: MAXIMUM_ATTEMPTS,
          },
        ],
        [{name: 'club', apiKeys: ['key-of-club'], guaranteed: {gpu: 48}}],
      ),
    );
    if (hasTrouble) {
      greyUntil = performance.now() + GREY_MS;
      site.record(`the minions of ${RACK} fail all that they start`);
    }
    const call = {
      path: `/bake/${JOB}`,
      host: 'bake.example',
      key: 'key-of-club',
    };
    const answer = await site.callUntilAnswered({
      ...call,
      method: 'POST',
      body: {
        spec: 'bake',
        steps: [
          {
            count: 1,
            cpu: 13_000,
            memMb: 26_000,
            gpu: 1,
            estimateMs: WORK_MS,
            requirements: RACK,
          },
        ],
      },
    });
    if (answer.status !== 200) throw new Error('the job was not accepted');
    await pause(GREY_MS);
    site.record(`the minions of ${RACK} are sound`);
    await pause(FINISH_MS);
    const {body} = await site.callUntilAnswered({...call, method: 'GET'});
    const failed = ends.filter((how) => how === 'failed').length;
    const isRunning = starts > ends.length;
    if (body?.state === 'complete' || isRunning) return undefined;
    if (failed >= MAXIMUM_ATTEMPTS) throw new Error('no attempt is left');
    return (
      `LOST: the job is ${body?.state}, its runs ended ${ends.join(', ')}, and ` +
      `nothing has run for ${FINISH_MS} ms with its minions sound and idle; ` +
      `maxAttempts is ${MAXIMUM_ATTEMPTS}`
    );
  },
);

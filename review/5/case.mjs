/**
 * The answer to a client's job is lost at the store, which stores the job
 * seconds later. The client gets 504 and cancels; it is told that no such job
 * exists. Then the job runs.
 */

import {configurationOf, runCase, smallSiteMinions} from '../standins/site.mjs';
import {pause} from '../standins/store.mjs';

const JOB = '5c0e7a21d94b36f8';
const LOST_FOR_MS = 1_000;
const LATE_MS = 5_500;
const CANCEL_MS = 3_000;
const LOST_SHARE = 0.35;

let startedAt;

await runCase(
  import.meta.url,
  {
    minions: smallSiteMinions('workshop'),
    behave: () => ({workMs: 2_500}),
    started: () => (startedAt ??= performance.now()),
  },
  async (site, hasTrouble) => {
    await site.start(
      configurationOf(
        1,
        [{name: 'r-bake', host: 'bake.example', pathPrefix: '/bake/'}],
        [{name: 'club', apiKeys: ['key-of-club'], guaranteed: {gpu: 48}}],
      ),
    );
    const call = {
      path: `/bake/${JOB}`,
      host: 'bake.example',
      key: 'key-of-club',
    };
    if (hasTrouble) loseAnswers(site);
    const posted = await site.call({
      ...call,
      address: site.daemons[0].address,
      method: 'POST',
      body: {
        spec: 'bake',
        steps: [
          {count: 1, cpu: 13_000, memMb: 26_000, gpu: 1, estimateMs: 2_500},
        ],
      },
    });
    await pause(500);
    const cancelled = await site.callUntilAnswered({...call, method: 'DELETE'});
    const cancelledAt = performance.now();
    if (![200, 410].includes(cancelled.status)) {
      throw new Error('the cancelling was not acknowledged');
    }
    await pause(12_000);
    await site.callUntilAnswered({...call, method: 'GET'});
    if (startedAt === undefined) return undefined;
    const afterMs = Math.round(startedAt - cancelledAt);
    if (afterMs <= CANCEL_MS) return undefined;
    return (
      `UNASKED: a minion is told to start the task ${afterMs} ms after the ` +
      `cancelling was acknowledged with ${cancelled.status}; the submission ` +
      `had been answered with ${posted.status}`
    );
  },
);

/** The store does a share of the writes later and does not answer them. */
function loseAnswers(site) {
  let writes = 0;
  let lost = 0;
  const endsAt = performance.now() + LOST_FOR_MS;
  site.record(`the store loses answers for ${LOST_FOR_MS} ms`);
  site.store.fault = ({path, body}) => {
    if (performance.now() > endsAt || path !== '/v1/kv-txn') return undefined;
    writes += 1;
    const isSubmission = (body.puts ?? []).some(({key}) => key.includes(JOB));
    if (!isSubmission && lost + 1 > writes * LOST_SHARE) return undefined;
    lost += 1;
    site.record(
      `the store does a write ${LATE_MS} ms later, without an answer`,
    );
    return {lateMs: LATE_MS};
  };
}

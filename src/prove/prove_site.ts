/**
 * Fault-injection test of the whole system: sends requests, jobs and
 * configuration changes from two zones under a seeded schedule of faults, then
 * checks the run logs and the store.
 */

import {OperatorClient} from '../cli/operator_client.js';
import {findAuditViolations} from '../harness/audit_checks.js';
import type {AcceptedChange} from '../harness/audit_checks.js';
import {Caller} from '../harness/caller.js';
import {
  BORROWER,
  OWNER,
  SMALL_FLEET,
  customerQuestionnaire,
  isRepeatable,
  startSmallSite,
  waitForVersion,
  waitUntil,
} from '../harness/example_site.js';
import {findJobViolations, waitForJobsToEnd} from '../harness/job_checks.js';
import {reconcileRequests} from '../harness/reconciler.js';
import type {Reconciliation} from '../harness/reconciler.js';
import type {SiteFixture} from '../harness/site_fixture.js';
import {VersionSampler} from '../harness/version_sampler.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {SeededRandom} from '../lifecycle/random.js';
import type {RandomSource} from '../lifecycle/random.js';
import {trustedId} from '../model/ids.js';
import {FaultSchedule} from './fault_schedule.js';

const TIMINGS = {
  heartbeatIntervalMs: 250,
  peerTimeoutMs: 1_500,
  workerWatchWaitMs: 1_500,
  workerLeaseMs: 6_000,
  workerLostAfterMs: 2_000,
  gangSkewBoundMs: 2_000,
};
const CALL_ALLOWANCE_MS = 5_000;
/**
 * Longest time for which a gang may run incomplete: a worker lease expires, a
 * takeover is interrupted by a second one, and calls add their own time.
 */
const PARTIAL_GANG_BOUND_MS =
  TIMINGS.workerLeaseMs +
  2 * (TIMINGS.peerTimeoutMs + TIMINGS.gangSkewBoundMs) +
  CALL_ALLOWANCE_MS;

const REQUEST_INTERVAL_MS = 40;
const JOB_INTERVAL_MS = 500;
const CHANGE_INTERVAL_MS = 1_200;
/** Attempts per request or job; retries reuse the key, if there is one. */
const MAXIMUM_SEND_ATTEMPTS = 3;

export interface FaultTestOptions {
  readonly seed: number;
  /** Time for which faults are applied, without the recovery afterwards. */
  readonly faultMs: number;
}

/** Results of one run. `jobs` and `changes` are numbers of accepted ones. */
export interface FaultTestReport {
  readonly faults: readonly string[];
  readonly requests: Reconciliation;
  readonly jobs: number;
  readonly changes: number;
  /** One message per violation; empty if there is none. */
  readonly violations: readonly string[];
}

/** Sends requests, jobs and changes to a site until it is stopped. */
class LoadGenerator {
  readonly callers: Caller[];
  readonly acceptedChanges: AcceptedChange[] = [];
  private stopped = false;
  private sequenceNumber = 0;

  constructor(
    private readonly site: SiteFixture,
    private readonly scope: CleanupScope,
    private readonly random: RandomSource,
  ) {
    this.callers = site.fleet.zones.map(() => new Caller(scope, []));
  }

  stop(): void {
    this.stopped = true;
  }

  async run(): Promise<void> {
    const zones = this.site.fleet.zones.map(({name}, index) => ({
      zone: name,
      caller: this.callers[index] ?? new Caller(this.scope, []),
    }));
    await Promise.all([
      ...zones.map(({zone, caller}) =>
        this.repeat(REQUEST_INTERVAL_MS, () => this.sendRequest(zone, caller)),
      ),
      ...zones.map(({zone, caller}) =>
        this.repeat(JOB_INTERVAL_MS, () => this.submitJob(zone, caller)),
      ),
      this.repeat(CHANGE_INTERVAL_MS, () => this.submitChange()),
    ]);
  }

  private async repeat(
    intervalMs: number,
    step: () => Promise<void>,
  ): Promise<void> {
    const pendingSteps: Array<Promise<void>> = [];
    while (!this.stopped && !this.scope.closed) {
      pendingSteps.push(step());
      await this.scope.sleep(intervalMs);
    }
    await Promise.all(pendingSteps);
  }

  /** Uses the running daemons of the zone, as a load balancer does. */
  private useRunningDaemons(zone: string, caller: Caller): void {
    const running = this.site
      .daemonsInZone(zone)
      .filter(({process}) => process.isRunning);
    caller.setAddresses(running.map((daemon) => daemon.callers));
  }

  private async sendRequest(zone: string, caller: Caller): Promise<void> {
    this.sequenceNumber += 1;
    const name = `prove-${this.sequenceNumber}`;
    const isScan = this.random.next() < 0.5;
    const request = {
      customerId: OWNER,
      workClassId: isScan ? 'scan' : 'check',
      payload: JSON.stringify({serviceTimeMs: 20, name}),
      ...(isScan ? {key: name} : {}),
    };
    for (let attempt = 0; attempt < MAXIMUM_SEND_ATTEMPTS; attempt += 1) {
      this.useRunningDaemons(zone, caller);
      const {outcome} = await caller.send(request);
      if (outcome?.outcome === 'answered') return;
      await this.scope.sleep(REQUEST_INTERVAL_MS);
    }
  }

  private async submitJob(zone: string, caller: Caller): Promise<void> {
    this.sequenceNumber += 1;
    const classes = ['pair', 'worker', 'single'];
    const workClassId = classes[this.random.nextBelow(classes.length)];
    const job = {
      customerId: BORROWER,
      workClassId: workClassId ?? 'single',
      payload: JSON.stringify({runTimeMs: 300}),
      key: `prove-${this.sequenceNumber}`,
      availabilityZone: zone,
    };
    for (let attempt = 0; attempt < MAXIMUM_SEND_ATTEMPTS; attempt += 1) {
      this.useRunningDaemons(zone, caller);
      if (await caller.submitJob(job)) return;
      await this.scope.sleep(REQUEST_INTERVAL_MS);
    }
  }

  private async submitChange(): Promise<void> {
    this.sequenceNumber += 1;
    const changeId = `prove-${this.sequenceNumber}`;
    const running = this.site.daemons.filter(({process}) => process.isRunning);
    const daemon = running[this.random.nextBelow(running.length)];
    if (!daemon) return;
    const result = await new OperatorClient(
      daemon.operators,
    ).submitQuestionnaire({
      changeId: trustedId(changeId),
      author: 'prove',
      questionnaire: customerQuestionnaire('changing', 0),
      checkOnly: false,
    });
    if (result.isErr) return;
    this.acceptedChanges.push({changeId, version: result.value.version});
  }
}

/** Runs the test with one seed; the scope ends all processes. */
export async function runFaultTest(
  scope: CleanupScope,
  {seed, faultMs}: FaultTestOptions,
): Promise<FaultTestReport> {
  const site = await startSmallSite(
    scope,
    {timings: TIMINGS, useFaultProxy: true, vmListLagMs: 500},
    {
      ...SMALL_FLEET,
      zones: SMALL_FLEET.zones.map((zone) => ({
        ...zone,
        entryVms: 3,
        racks: [4],
        minions: 3,
      })),
    },
  );
  const sampler = new VersionSampler(site, scope);
  const load = new LoadGenerator(site, scope, new SeededRandom(seed + 1));
  const schedule = new FaultSchedule(
    site,
    load.callers,
    new SeededRandom(seed),
    scope,
  );
  const loadFinished = load.run();
  await schedule.run(performance.now() + faultMs);
  load.stop();
  await loadFinished;
  const recoveryFailures = await waitForRecovery(site, load);
  const records = load.callers.flatMap((caller) => caller.requests);
  const requests = reconcileRequests(records, site.runEvents(), isRepeatable);
  const entries = await site.platformAdmin.dumpStore();
  return {
    faults: schedule.log,
    requests,
    jobs: load.callers.flatMap((caller) => caller.jobs).length,
    changes: load.acceptedChanges.length,
    violations: [
      ...recoveryFailures,
      ...requests.violations,
      ...(await findJobViolations(site, load.callers, PARTIAL_GANG_BOUND_MS)),
      ...sampler.violations,
      ...findAuditViolations(entries, load.acceptedChanges),
    ],
  };
}

/**
 * Waits until all daemons have the newest configuration, all jobs have ended
 * and all minions are idle. Returns one message per condition that timed out.
 */
async function waitForRecovery(
  site: SiteFixture,
  load: LoadGenerator,
): Promise<string[]> {
  const newest = Math.max(
    0,
    ...load.acceptedChanges.map(({version}) => version),
  );
  const conditions = [
    ...site.daemons.map((daemon) => waitForVersion(daemon, newest)),
    waitForJobsToEnd(site, load.callers),
    waitUntil('all minions are idle', async () => {
      const states = await Promise.all(
        site.minions.map(({admin}) => admin.status()),
      );
      return states.every(({running, waiting}) => running + waiting === 0);
    }),
  ];
  const results = await Promise.allSettled(conditions);
  return results.flatMap((result) =>
    result.status === 'rejected' ? [String(result.reason)] : [],
  );
}

/**
 * The whole system under a seeded schedule of faults with a mixed load from
 * callers in two zones, and the reconciliation afterwards.
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
import {findJobViolations, waitForJobEnds} from '../harness/job_checks.js';
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
const CALLS_MS = 5_000;
/** A lapse of a lease and two takeovers, one during the other, and the calls. */
const PARTIAL_BOUND_MS =
  TIMINGS.workerLeaseMs +
  2 * (TIMINGS.peerTimeoutMs + TIMINGS.gangSkewBoundMs) +
  CALLS_MS;

const REQUEST_INTERVAL_MS = 40;
const JOB_INTERVAL_MS = 500;
const CHANGE_INTERVAL_MS = 1_200;
/** Requests and jobs are sent again this often, with the same key. */
const SEND_TRIES = 3;

export interface ProveOptions {
  readonly seed: number;
  /** How long faults are applied; the recovery comes on top. */
  readonly faultMs: number;
}

/** What one run came to. */
export interface ProveReport {
  readonly faults: readonly string[];
  readonly requests: Reconciliation;
  readonly jobs: number;
  readonly changes: number;
  /** One sentence per broken promise; empty if all hold. */
  readonly violations: readonly string[];
}

/** Load of one site that goes on until it is stopped. */
class Load {
  readonly callers: Caller[];
  readonly accepted: AcceptedChange[] = [];
  private stopped = false;
  private number = 0;

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
        this.repeat(REQUEST_INTERVAL_MS, () => this.request(zone, caller)),
      ),
      ...zones.map(({zone, caller}) =>
        this.repeat(JOB_INTERVAL_MS, () => this.job(zone, caller)),
      ),
      this.repeat(CHANGE_INTERVAL_MS, () => this.change()),
    ]);
  }

  private async repeat(
    intervalMs: number,
    step: () => Promise<void>,
  ): Promise<void> {
    const steps: Array<Promise<void>> = [];
    while (!this.stopped && !this.scope.closed) {
      steps.push(step());
      await this.scope.sleep(intervalMs);
    }
    await Promise.all(steps);
  }

  /** Addresses of the zone's daemons, as a load balancer knows them. */
  private useRunning(zone: string, caller: Caller): void {
    const running = this.site
      .daemonsOf(zone)
      .filter(({process}) => process.isRunning);
    caller.useAddresses(running.map((daemon) => daemon.callers));
  }

  private async request(zone: string, caller: Caller): Promise<void> {
    this.number += 1;
    const name = `prove-${this.number}`;
    const isScan = this.random.next() < 0.5;
    const request = {
      customerId: OWNER,
      workClassId: isScan ? 'scan' : 'check',
      payload: JSON.stringify({serviceTimeMs: 20, name}),
      ...(isScan ? {key: name} : {}),
    };
    for (let attempt = 0; attempt < SEND_TRIES; attempt += 1) {
      this.useRunning(zone, caller);
      const {outcome} = await caller.send(request);
      if (outcome?.outcome === 'answered') return;
      await this.scope.sleep(REQUEST_INTERVAL_MS);
    }
  }

  private async job(zone: string, caller: Caller): Promise<void> {
    this.number += 1;
    const classes = ['pair', 'worker', 'single'];
    const workClassId = classes[this.random.nextBelow(classes.length)];
    const job = {
      customerId: BORROWER,
      workClassId: workClassId ?? 'single',
      payload: JSON.stringify({runTimeMs: 300}),
      key: `prove-${this.number}`,
      availabilityZone: zone,
    };
    for (let attempt = 0; attempt < SEND_TRIES; attempt += 1) {
      this.useRunning(zone, caller);
      if (await caller.submitJob(job)) return;
      await this.scope.sleep(REQUEST_INTERVAL_MS);
    }
  }

  private async change(): Promise<void> {
    this.number += 1;
    const changeId = `prove-${this.number}`;
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
    this.accepted.push({changeId, version: result.value.version});
  }
}

/** Runs one seed; the scope ends all processes. */
export async function proveSite(
  scope: CleanupScope,
  {seed, faultMs}: ProveOptions,
): Promise<ProveReport> {
  const site = await startSmallSite(
    scope,
    {timings: TIMINGS, proxied: true, vmListLagMs: 500},
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
  const load = new Load(site, scope, new SeededRandom(seed + 1));
  const schedule = new FaultSchedule(
    site,
    load.callers,
    new SeededRandom(seed),
    scope,
  );
  const running = load.run();
  await schedule.run(performance.now() + faultMs);
  load.stop();
  await running;
  const recovery = await recover(site, load);
  const records = load.callers.flatMap((caller) => caller.requests);
  const requests = reconcileRequests(records, site.events(), isRepeatable);
  const entries = await site.platformAdmin.dumpStore();
  return {
    faults: schedule.log,
    requests,
    jobs: load.callers.flatMap((caller) => caller.jobs).length,
    changes: load.accepted.length,
    violations: [
      ...recovery,
      ...requests.violations,
      ...(await findJobViolations(site, load.callers, PARTIAL_BOUND_MS)),
      ...sampler.violations,
      ...findAuditViolations(entries, load.accepted),
    ],
  };
}

/** Waits until all work has ended; returns what never did. */
async function recover(site: SiteFixture, load: Load): Promise<string[]> {
  const newest = Math.max(0, ...load.accepted.map(({version}) => version));
  const waits = [
    ...site.daemons.map((daemon) => waitForVersion(daemon, newest)),
    waitForJobEnds(site, load.callers),
    waitUntil('all minions are idle', async () => {
      const states = await Promise.all(
        site.minions.map(({admin}) => admin.status()),
      );
      return states.every(({running, waiting}) => running + waiting === 0);
    }),
  ];
  const results = await Promise.allSettled(waits);
  return results.flatMap((result) =>
    result.status === 'rejected' ? [String(result.reason)] : [],
  );
}

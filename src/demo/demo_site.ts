/**
 * Runs the demo on one example site: applies the site's questionnaires with the
 * command-line tool, sends requests and gang jobs from callers in every zone
 * while one entry VM is drained, and checks every answer.
 */

import {execFile} from 'node:child_process';
import {readFile, readdir} from 'node:fs/promises';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {OperatorClient} from '../cli/operator_client.js';
import {Caller} from '../harness/caller.js';
import type {AcceptedJob} from '../harness/caller.js';
import {findSharedAccelerators} from '../harness/job_reconciler.js';
import {reconcileRequests} from '../harness/reconciler.js';
import type {Reconciliation} from '../harness/reconciler.js';
import {SiteFixture, fleetSchema} from '../harness/site_fixture.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Configuration, RequestClass} from '../model/configuration.js';
import {hasEnded} from '../model/jobs.js';
import type {JobRecord} from '../model/jobs.js';
import type {RunEvent} from '../standins/run_log.js';

const EXAMPLES_DIRECTORY = fileURLToPath(
  new URL('../../../examples', import.meta.url),
);
const CLI_PROGRAM = fileURLToPath(new URL('../cli/main.js', import.meta.url));

const CONFIGURATION_TIME_LIMIT_MS = 3_000;
const POLL_INTERVAL_MS = 50;
const JOB_TIMEOUT_MS = 20_000;
const REQUESTS_PER_CALLER = 60;
/** Concurrent requests per caller. */
const CALLER_CONCURRENCY = 6;
const MAXIMUM_SEND_ATTEMPTS = 5;
const RETRY_DELAY_MS = 200;
const DRAIN_AFTER_REQUESTS = 20;
const JOB_RUN_TIME_MS = 800;
const SERVICE_TIME_MS = 20;

const runFile = promisify(execFile);

/** Results of the demo on one site. */
export interface DemoSummary {
  readonly site: string;
  readonly processes: number;
  readonly requests: Reconciliation;
  readonly jobs: readonly JobRecord[];
  /** Placement of the largest gang: one `workerId[accelerators]` per task. */
  readonly largestGang: readonly string[];
  readonly drainedVm: string;
  /** One message per violated invariant; empty if there is none. */
  readonly violations: readonly string[];
}

/** Runs the demo on the example site `name`; the scope ends all processes. */
export async function runSiteDemo(
  scope: CleanupScope,
  name: string,
): Promise<DemoSummary> {
  const demo = await DemoSite.start(scope, name);
  await demo.applyAllQuestionnaires();
  await demo.runWorkload();
  return demo.summarise();
}

class DemoSite {
  private readonly violations: string[] = [];
  private readonly jobs: JobRecord[] = [];
  private callers: Caller[] = [];
  private drainedVm = '';
  private configuration: Configuration | undefined;

  private constructor(
    private readonly scope: CleanupScope,
    private readonly name: string,
    private readonly site: SiteFixture,
  ) {}

  static async start(scope: CleanupScope, name: string): Promise<DemoSite> {
    const text = await readFile(
      join(EXAMPLES_DIRECTORY, name, 'fleet.json'),
      'utf8',
    );
    const fleet = fleetSchema.parse(JSON.parse(text));
    const site = await SiteFixture.start(scope, fleet);
    return new DemoSite(scope, name, site);
  }

  /** Applies all questionnaires and waits until every daemon uses them. */
  async applyAllQuestionnaires(): Promise<void> {
    const folder = join(EXAMPLES_DIRECTORY, this.name, 'questionnaires');
    const files = (await readdir(folder)).sort();
    const [first] = this.site.daemons;
    if (!first) throw new Error('no daemon was started');
    for (const file of files) {
      const args = ['questionnaire', 'apply', join(folder, file)];
      await runCli([...args, '--daemon', first.operators]);
    }
    const appliedAt = performance.now();
    await Promise.all(
      this.site.daemons.map((daemon) =>
        this.waitForVersion(daemon.operators, files.length),
      ),
    );
    const elapsedMs = Math.round(performance.now() - appliedAt);
    if (elapsedMs > CONFIGURATION_TIME_LIMIT_MS) {
      this.violations.push(
        `the configuration took ${elapsedMs} ms to reach all daemons`,
      );
    }
    const result = await new OperatorClient(first.operators).configuration();
    this.configuration = result.unwrapOr(undefined);
  }

  /** Sends requests and jobs while one entry VM is drained. */
  async runWorkload(): Promise<void> {
    this.callers = this.site.fleet.zones.map(
      (zone) => new Caller(this.scope, this.callerAddressesOf(zone.name)),
    );
    await Promise.all([
      ...this.callers.map((caller, index) => this.sendRequests(caller, index)),
      this.runJobs(),
      this.drainFirstEntryVm(),
    ]);
  }

  summarise(): DemoSummary {
    const events = this.runEvents();
    const requests = reconcileRequests(
      this.callers.flatMap((caller) => caller.requests),
      events,
      (customerId, workClassId) => this.isRepeatable(customerId, workClassId),
    );
    if (requests.unanswered > 0) {
      this.violations.push(`${requests.unanswered} requests were interrupted`);
    }
    const {site} = this;
    const standins = [...site.workers, ...site.minions].length + 1;
    return {
      site: site.fleet.site,
      processes: standins + site.daemons.length,
      requests,
      jobs: this.jobs,
      largestGang: this.checkLargestGang(events),
      drainedVm: this.drainedVm,
      violations: [
        ...this.violations,
        ...requests.violations,
        ...findSharedAccelerators(events),
      ],
    };
  }

  private async waitForVersion(
    operators: string,
    version: number,
  ): Promise<void> {
    const client = new OperatorClient(operators);
    for (;;) {
      const status = await client.status();
      if (status.isOk && status.value.configurationVersion >= version) return;
      await this.scope.sleep(POLL_INTERVAL_MS);
    }
  }

  private callerAddressesOf(zone: string): string[] {
    return this.site
      .daemonsInZone(zone)
      .filter((daemon) => daemon.vmId !== this.drainedVm)
      .map((daemon) => daemon.callers);
  }

  private requestClasses(): RequestClass[] {
    return (this.configuration?.workClasses ?? []).flatMap((workClass) =>
      workClass.kind === 'request' ? [workClass] : [],
    );
  }

  private isRepeatable(customerId: string, workClassId: string): boolean {
    const requestClass = this.requestClasses().find(
      (workClass) =>
        workClass.customerId === customerId && workClass.id === workClassId,
    );
    return requestClass?.repeatable ?? false;
  }

  private async sendRequests(
    caller: Caller,
    callerIndex: number,
  ): Promise<void> {
    const classes = this.requestClasses();
    const pendingIndexes = Array.from(
      {length: REQUESTS_PER_CALLER},
      (_, i) => i,
    );
    const sender = async () => {
      for (;;) {
        const index = pendingIndexes.shift();
        const workClass = classes[(index ?? 0) % classes.length];
        if (index === undefined || !workClass) return;
        await this.sendRequest(caller, workClass, `${callerIndex}-${index}`);
      }
    };
    await Promise.all(Array.from({length: CALLER_CONCURRENCY}, sender));
  }

  /**
   * Sends a request until it is answered, up to the maximum number of attempts.
   * Retries reuse the key, if there is one.
   */
  private async sendRequest(
    caller: Caller,
    workClass: RequestClass,
    name: string,
  ): Promise<void> {
    const request = {
      customerId: workClass.customerId,
      workClassId: workClass.id,
      payload: JSON.stringify({serviceTimeMs: SERVICE_TIME_MS, upload: name}),
      ...(workClass.repeatable ? {} : {key: `upload-${name}`}),
    };
    for (let attempt = 0; attempt < MAXIMUM_SEND_ATTEMPTS; attempt += 1) {
      const {outcome} = await caller.send(request);
      if (outcome?.outcome === 'answered') return;
      await this.scope.sleep(RETRY_DELAY_MS);
    }
    this.violations.push(`request ${name} was not answered in any attempt`);
  }

  /** Submits one job of each job class and waits until all have ended. */
  private async runJobs(): Promise<void> {
    const classes = this.configuration?.workClasses ?? [];
    const accepted: Array<{caller: Caller; job: AcceptedJob}> = [];
    for (const [index, workClass] of classes.entries()) {
      const caller = this.callers[index % this.callers.length];
      if (workClass.kind !== 'job' || !caller) continue;
      const job = await caller.submitJob({
        customerId: workClass.customerId,
        workClassId: workClass.id,
        payload: JSON.stringify({runTimeMs: JOB_RUN_TIME_MS}),
        key: `job-${index}`,
      });
      if (job) accepted.push({caller, job});
      else this.violations.push(`a job of ${workClass.id} was not accepted`);
    }
    for (const {caller, job} of accepted) {
      const record = await caller.waitForJob(
        job.jobId,
        ({state}) => hasEnded(state),
        JOB_TIMEOUT_MS,
      );
      this.jobs.push(record);
      if (record.state !== 'finished') {
        this.violations.push(`job ${job.jobId} ended as ${record.state}`);
      }
    }
  }

  /**
   * Drains the first entry VM after the caller of its zone has sent
   * `DRAIN_AFTER_REQUESTS` requests, so that requests are in progress.
   */
  private async drainFirstEntryVm(): Promise<void> {
    const [caller] = this.callers;
    const [daemon] = this.site.daemons;
    if (!caller || !daemon) throw new Error('the site has no daemon');
    while (caller.requests.length < DRAIN_AFTER_REQUESTS) {
      await this.scope.sleep(POLL_INTERVAL_MS);
    }
    this.drainedVm = daemon.vmId;
    await runCli(['drain', '--daemon', daemon.operators]);
    // As a load balancer does when /ready answers 503.
    caller.setAddresses(this.callerAddressesOf(daemon.availabilityZone));
    const exit = await daemon.process.exited;
    if (exit.code !== 0) {
      this.violations.push(`${daemon.vmId} ended with code ${exit.code}`);
    }
  }

  private runEvents(): RunEvent[] {
    return [...this.site.workers, ...this.site.minions].flatMap(
      ({process}) => process.events,
    );
  }

  /**
   * Returns the placement of the largest gang, one entry per task. Adds a
   * violation unless its workers are adjacent in one rack.
   */
  private checkLargestGang(events: readonly RunEvent[]): string[] {
    const [largest] = [...this.jobs].sort(
      (a, b) => b.shape.tasks - a.shape.tasks,
    );
    const startedTasks = events.flatMap((event) =>
      event.event === 'released' && event.gangId === largest?.gangId
        ? [event]
        : [],
    );
    const workerIds = new Set(startedTasks.map((event) => event.workerId));
    const workers = this.site.workers
      .map(({vm}) => vm)
      .filter((vm) => workerIds.has(vm.vmId))
      .sort((a, b) => a.rackPosition - b.rackPosition);
    const racks = new Set(workers.map((vm) => vm.rackId));
    const firstPosition = workers[0]?.rackPosition ?? 0;
    const adjacent = workers.every(
      (vm, i) => vm.rackPosition === firstPosition + i,
    );
    if (racks.size !== 1 || !adjacent) {
      this.violations.push(
        'the workers of the largest gang are not adjacent in one rack',
      );
    }
    return startedTasks
      .map((event) => `${event.workerId}[${event.accelerators.join(',')}]`)
      .sort();
  }
}

async function runCli(args: readonly string[]): Promise<void> {
  await runFile(process.execPath, [CLI_PROGRAM, ...args]);
}

/**
 * One site of the demonstration: applies the site's questionnaires with the
 * command-line tool, sends mixed requests and gang jobs from callers in all
 * zones, drains one entry VM meanwhile, and checks every answer.
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

const EXAMPLES = fileURLToPath(new URL('../../../examples', import.meta.url));
const TOOL = fileURLToPath(new URL('../cli/main.js', import.meta.url));

const CONFIGURATION_LIMIT_MS = 3_000;
const POLL_MS = 50;
const JOB_LIMIT_MS = 20_000;
const REQUESTS_PER_CALLER = 60;
/** Requests of one caller that are in progress at once. */
const CALLER_CONCURRENCY = 6;
const SEND_TRIES = 5;
const SEND_PAUSE_MS = 200;
const DRAIN_AFTER_REQUESTS = 20;
const JOB_RUN_TIME_MS = 800;
const SERVICE_TIME_MS = 20;

const runFile = promisify(execFile);

/** What the demonstration of one site showed. */
export interface DemoSummary {
  readonly site: string;
  readonly processes: number;
  readonly requests: Reconciliation;
  readonly jobs: readonly JobRecord[];
  /** Where the largest gang ran, one entry per task. */
  readonly largestGang: readonly string[];
  readonly drainedVm: string;
  /** One sentence per broken promise. */
  readonly violations: readonly string[];
}

/** Runs the demonstration of one example site. */
export async function demonstrateSite(
  scope: CleanupScope,
  name: string,
): Promise<DemoSummary> {
  const demo = await DemoSite.start(scope, name);
  await demo.applyQuestionnaires();
  await demo.runWork();
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
    const text = await readFile(join(EXAMPLES, name, 'fleet.json'), 'utf8');
    const fleet = fleetSchema.parse(JSON.parse(text));
    const site = await SiteFixture.start(scope, fleet);
    return new DemoSite(scope, name, site);
  }

  /** Applies all questionnaires and waits until they are in force. */
  async applyQuestionnaires(): Promise<void> {
    const folder = join(EXAMPLES, this.name, 'questionnaires');
    const files = (await readdir(folder)).sort();
    const [first] = this.site.daemons;
    if (!first) throw new Error('no daemon was started');
    for (const file of files) {
      const parameters = ['questionnaire', 'apply', join(folder, file)];
      await runTool([...parameters, '--daemon', first.operators]);
    }
    const appliedAt = performance.now();
    await Promise.all(
      this.site.daemons.map((daemon) =>
        this.waitForVersion(daemon.operators, files.length),
      ),
    );
    const elapsedMs = Math.round(performance.now() - appliedAt);
    if (elapsedMs > CONFIGURATION_LIMIT_MS) {
      this.violations.push(
        `the configuration was in force everywhere after ${elapsedMs} ms`,
      );
    }
    const shown = await new OperatorClient(first.operators).configuration();
    this.configuration = shown.unwrapOr(undefined);
  }

  /** Sends all work while one entry VM is drained. */
  async runWork(): Promise<void> {
    this.callers = this.site.fleet.zones.map(
      (zone) => new Caller(this.scope, this.addressesOf(zone.name)),
    );
    await Promise.all([
      ...this.callers.map((caller, index) => this.sendRequests(caller, index)),
      this.runJobs(),
      this.drainOne(),
    ]);
  }

  summarise(): DemoSummary {
    const events = this.events();
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
      largestGang: this.largestGang(events),
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
      await this.scope.sleep(POLL_MS);
    }
  }

  private addressesOf(zone: string): string[] {
    return this.site
      .daemonsOf(zone)
      .filter((daemon) => daemon.vmId !== this.drainedVm)
      .map((daemon) => daemon.callers);
  }

  private requestClasses(): RequestClass[] {
    return (this.configuration?.workClasses ?? []).flatMap((workClass) =>
      workClass.kind === 'request' ? [workClass] : [],
    );
  }

  private isRepeatable(customerId: string, workClassId: string): boolean {
    const found = this.requestClasses().find(
      (workClass) =>
        workClass.customerId === customerId && workClass.id === workClassId,
    );
    return found?.repeatable ?? false;
  }

  private async sendRequests(caller: Caller, number: number): Promise<void> {
    const classes = this.requestClasses();
    const indexes = Array.from({length: REQUESTS_PER_CALLER}, (_, i) => i);
    const sender = async () => {
      for (;;) {
        const index = indexes.shift();
        const workClass = classes[(index ?? 0) % classes.length];
        if (index === undefined || !workClass) return;
        await this.sendRequest(caller, workClass, `${number}-${index}`);
      }
    };
    await Promise.all(Array.from({length: CALLER_CONCURRENCY}, sender));
  }

  /** Sends until it was answered; a retry repeats the key. */
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
    for (let attempt = 0; attempt < SEND_TRIES; attempt += 1) {
      const {outcome} = await caller.send(request);
      if (outcome?.outcome === 'answered') return;
      await this.scope.sleep(SEND_PAUSE_MS);
    }
    this.violations.push(`request ${name} was not answered in all tries`);
  }

  /** Submits one job of each class and waits until all have ended. */
  private async runJobs(): Promise<void> {
    const classes = this.configuration?.workClasses ?? [];
    const jobs: Array<{caller: Caller; job: AcceptedJob}> = [];
    for (const [index, workClass] of classes.entries()) {
      const caller = this.callers[index % this.callers.length];
      if (workClass.kind !== 'job' || !caller) continue;
      const job = await caller.submitJob({
        customerId: workClass.customerId,
        workClassId: workClass.id,
        payload: JSON.stringify({runTimeMs: JOB_RUN_TIME_MS}),
        key: `job-${index}`,
      });
      if (job) jobs.push({caller, job});
      else this.violations.push(`a job of ${workClass.id} was not accepted`);
    }
    for (const {caller, job} of jobs) {
      const record = await caller.waitForJob(
        job.jobId,
        ({state}) => hasEnded(state),
        JOB_LIMIT_MS,
      );
      this.jobs.push(record);
      if (record.state !== 'finished') {
        this.violations.push(`job ${job.jobId} ended as ${record.state}`);
      }
    }
  }

  /** Drains one entry VM once its zone's caller is at work. */
  private async drainOne(): Promise<void> {
    const [caller] = this.callers;
    const [daemon] = this.site.daemons;
    if (!caller || !daemon) throw new Error('the site has no daemon');
    while (caller.requests.length < DRAIN_AFTER_REQUESTS) {
      await this.scope.sleep(POLL_MS);
    }
    this.drainedVm = daemon.vmId;
    await runTool(['drain', '--daemon', daemon.operators]);
    // The load balancer sees /ready answer 503 and sends elsewhere.
    caller.useAddresses(this.addressesOf(daemon.availabilityZone));
    const exit = await daemon.process.exited;
    if (exit.code !== 0) {
      this.violations.push(`${daemon.vmId} ended with code ${exit.code}`);
    }
  }

  private events(): RunEvent[] {
    return [...this.site.workers, ...this.site.minions].flatMap(
      ({process}) => process.events,
    );
  }

  /** Checks that the largest gang's workers are neighbours in one rack. */
  private largestGang(events: readonly RunEvent[]): string[] {
    const [largest] = [...this.jobs].sort(
      (a, b) => b.shape.tasks - a.shape.tasks,
    );
    const released = events.flatMap((event) =>
      event.event === 'released' && event.gangId === largest?.gangId
        ? [event]
        : [],
    );
    const workerIds = new Set(released.map((event) => event.workerId));
    const workers = this.site.workers
      .map(({vm}) => vm)
      .filter((vm) => workerIds.has(vm.vmId))
      .sort((a, b) => a.rackPosition - b.rackPosition);
    const racks = new Set(workers.map((vm) => vm.rackId));
    const start = workers[0]?.rackPosition ?? 0;
    const adjacent = workers.every((vm, i) => vm.rackPosition === start + i);
    if (racks.size !== 1 || !adjacent) {
      this.violations.push('the largest gang is not on adjacent workers');
    }
    return released
      .map((event) => `${event.workerId}[${event.accelerators.join(',')}]`)
      .sort();
  }
}

async function runTool(parameters: readonly string[]): Promise<void> {
  await runFile(process.execPath, [TOOL, ...parameters]);
}

/**
 * Generates the workloads `kettleby`, `iloilo` and `target-zone`. The customers
 * and job classes of the first two come from the example questionnaires. Bursts
 * of jobs are added until the work that should finish reaches the zone's load.
 */

import {readFileSync, readdirSync} from 'node:fs';
import {SeededRandom} from '../lifecycle/random.js';
import type {
  Configuration,
  Customer,
  JobClass,
} from '../model/configuration.js';
import {EMPTY_CONFIGURATION, applyChange} from '../model/configuration.js';
import type {
  AvailabilityZone,
  CustomerId,
  Instant,
  VmId,
} from '../model/ids.js';
import {after, instant, trustedId} from '../model/ids.js';
import {
  parseQuestionnaireText,
  questionnaireToEdit,
} from '../model/questionnaire.js';
import type {CellSize} from '../model/shapes.js';
import {ACCELERATORS_PER_WORKER, WORKERS_PER_RACK} from '../model/shapes.js';
import type {PlannedWorker} from '../scheduling/zone_planner.js';
import type {Workload, WorkloadEvent, WorkloadJob} from './workload.js';

export const WORKLOAD_NAMES = ['kettleby', 'iloilo', 'target-zone'] as const;
export type WorkloadName = (typeof WORKLOAD_NAMES)[number];

/** Work of the jobs that should finish, as a share of the zone's capacity. */
const LOAD_SHARE = 0.85;
const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;
const STARTS_AT = instant(1_800_000_000_000);
const EXAMPLES_URL = new URL('../../../examples/', import.meta.url);

/** Range of actual run times, relative to the class's usual run time. */
const SHORTEST_RUN_FACTOR = 0.25;
const LONGEST_RUN_FACTOR = 2;
/** Range of declared run times, relative to the actual run time. */
const LOWEST_DECLARED_FACTOR = 0.1;
const HIGHEST_DECLARED_FACTOR = 10;

const CANCELLED_SHARE = 0.08;
const CANCELLATION_INTERVAL_MS = 6 * HOUR_MS;
const FAILING_JOB_SHARE = 0.01;
const FAILING_JOB_MS = 20_000;
/** Share of jobs whose checkpoints exceed the reclaim bound. */
const SLOW_CHECKPOINT_SHARE = 0.1;
const SLOW_CHECKPOINT_MS = 5_000;
const LONGEST_CHECKPOINT_MS = 900;

const GENERATOR_FUEL_KILOWATT_HOURS = 30;
const POWER_CUT_MS = 2 * HOUR_MS;
const WORKER_FAULT_MS = 3 * HOUR_MS;

/** Target size from section 1 of the design page; workers are per zone. */
const TARGET_WORKERS = 540;
const TARGET_CUSTOMERS = 700;
const TARGET_ZONES = 12;
const TARGET_GUARANTEED_SHARE = 0.7;
const TARGET_CELL_SIZES: readonly CellSize[] = [8, 8, 16, 16, 32, 64];

export interface WorkloadOptions {
  readonly seed: number;
  /** Length of the submission period. */
  readonly hours: number;
  /** Workers of `target-zone`; the number of customers scales with it. */
  readonly workers?: number;
  /** False omits worker faults, failing jobs and the power cut. */
  readonly hasFaults?: boolean;
}

/** Generates a workload; throws if an example questionnaire is invalid. */
export function createWorkload(
  name: WorkloadName,
  options: WorkloadOptions,
): Workload {
  if (name === 'target-zone') return targetZone(options);
  const zone = name === 'kettleby' ? 'fraser-1' : 'iloilo';
  return generate({
    name,
    options,
    availabilityZone: trustedId(zone),
    configuration: withSmallJobs(exampleConfiguration(name)),
    workers: workersOf([WORKERS_PER_RACK, 2]),
    hasPowerCut: true,
  });
}

function exampleConfiguration(site: WorkloadName): Configuration {
  const folder = new URL(`${site}/questionnaires/`, EXAMPLES_URL);
  let configuration = EMPTY_CONFIGURATION;
  for (const file of readdirSync(folder).sort()) {
    const text = readFileSync(new URL(file, folder), 'utf8');
    const edit = parseQuestionnaireText(text)
      .andThen(questionnaireToEdit)
      .unwrapOrElse((error) => {
        throw error;
      });
    const version = configuration.version + 1;
    configuration = applyChange(configuration, {
      id: trustedId(`change-${version}`),
      version,
      baseVersion: version - 1,
      author: 'bench',
      acceptedAt: STARTS_AT,
      edit,
    });
  }
  return configuration;
}

/** Adds classes of one- and two-accelerator jobs, which fragment the racks. */
function withSmallJobs(configuration: Configuration): Configuration {
  const small = configuration.customers.flatMap((customer) =>
    [1, 2].map((accelerators) =>
      jobClass(customer, `small-${accelerators}`, 1, accelerators, 30),
    ),
  );
  return {
    ...configuration,
    workClasses: [...configuration.workClasses, ...small],
  };
}

function jobClass(
  customer: Customer,
  id: string,
  tasks: number,
  acceleratorsPerTask: number,
  usualMinutes: number,
): JobClass {
  return {
    kind: 'job',
    id: trustedId(id),
    customerId: customer.id,
    shape: {tasks, acceleratorsPerTask},
    declaredRunTimeMs: usualMinutes * MINUTE_MS,
    urgency: 'normal',
  };
}

function workersOf(racks: readonly number[]): readonly PlannedWorker[] {
  return racks.flatMap((size, rack) =>
    Array.from({length: size}, (_, position) => ({
      workerId: trustedId<VmId>(`worker-${rack}-${position}`),
      rackId: trustedId<PlannedWorker['rackId']>(`rack-${rack}`),
      rackPosition: position,
      accelerators: ACCELERATORS_PER_WORKER,
      acceptsTasks: true,
    })),
  );
}

function targetZone(options: WorkloadOptions): Workload {
  const count = options.workers ?? TARGET_WORKERS;
  const random = new SeededRandom(options.seed);
  const fullRacks = Math.floor(count / WORKERS_PER_RACK);
  const racks = new Array<number>(fullRacks).fill(WORKERS_PER_RACK);
  if (count % WORKERS_PER_RACK > 0) racks.push(count % WORKERS_PER_RACK);
  const customers = targetCustomers(count, random);
  const workClasses = customers.flatMap((customer) => targetClasses(customer));
  return generate({
    name: 'target-zone',
    options,
    availabilityZone: trustedId('zone-0'),
    configuration: {...EMPTY_CONFIGURATION, customers, workClasses},
    workers: workersOf(racks),
    hasPowerCut: false,
  });
}

/**
 * Creates the customers of all zones. The guarantees in zone 0 add up to at
 * most its guaranteed share.
 */
function targetCustomers(
  workerCount: number,
  random: SeededRandom,
): Customer[] {
  const scale = workerCount / TARGET_WORKERS;
  const total = Math.max(4 * TARGET_ZONES, TARGET_CUSTOMERS * scale);
  const accelerators = workerCount * ACCELERATORS_PER_WORKER;
  const local = Math.floor(total / TARGET_ZONES);
  let left = Math.floor(accelerators * TARGET_GUARANTEED_SHARE);
  return Array.from({length: Math.floor(total)}, (_, index): Customer => {
    const zone = index % TARGET_ZONES;
    const size = pick(TARGET_CELL_SIZES, random);
    const share = Math.floor((accelerators * TARGET_GUARANTEED_SHARE) / local);
    const cellSize: CellSize = size <= 2 * share ? size : 8;
    const wanted = Math.max(1, Math.floor(share / cellSize));
    const cells = Math.min(wanted, Math.floor(left / cellSize));
    if (zone === 0) left -= cells * cellSize;
    return {
      id: trustedId(`team-${index}`),
      name: `team ${index}`,
      guarantees:
        cells > 0
          ? [{availabilityZone: trustedId(`zone-${zone}`), cellSize, cells}]
          : [],
      acceleratorCeiling: Math.max(4 * share, 2 * cellSize),
      weight: 1,
      requestLimits: {requestsPerSecond: 1, burst: 1, concurrency: 1},
    };
  });
}

function targetClasses(customer: Customer): JobClass[] {
  const [guarantee] = customer.guarantees;
  if (guarantee?.availabilityZone !== 'zone-0') return [];
  const size = guarantee.cellSize;
  return [
    jobClass(customer, 'gang', size / 2, 2, 300),
    jobClass(customer, 'wide-gang', size, 1, 300),
    jobClass(customer, 'half-gang', size / 4, 2, 200),
    {...jobClass(customer, 'urgent', size / 8, 8, 60), urgency: 'urgent'},
    jobClass(customer, 'single', 1, 1, 240),
    jobClass(customer, 'pair', 2, 2, 240),
  ];
}

interface GeneratorInput {
  readonly name: WorkloadName;
  readonly options: WorkloadOptions;
  readonly availabilityZone: AvailabilityZone;
  readonly configuration: Configuration;
  readonly workers: readonly PlannedWorker[];
  readonly hasPowerCut: boolean;
}

function generate(generation: GeneratorInput): Workload {
  const {name, options, availabilityZone, configuration} = generation;
  const {hasFaults = true} = options;
  const random = new SeededRandom(options.seed);
  const endsAt = after(STARTS_AT, options.hours * HOUR_MS);
  const jobs = new JobGenerator(generation, random, endsAt).jobs();
  const events = [
    ...jobs.flatMap(eventsOfJob),
    ...(hasFaults ? workerFaults(generation, random) : []),
    ...(hasFaults && generation.hasPowerCut ? powerCut(options.hours) : []),
  ];
  return {
    name,
    seed: options.seed,
    availabilityZone,
    configuration,
    workers: generation.workers,
    events: events.sort((one, other) => one.at - other.at),
    startsAt: STARTS_AT,
    endsAt,
  };
}

function eventsOfJob(job: WorkloadJob): readonly WorkloadEvent[] {
  const {jobId, submittedAt} = job.record;
  const submit: WorkloadEvent = {kind: 'submit', at: submittedAt, job};
  if (job.cancelAt === undefined) return [submit];
  return [submit, {kind: 'cancel', at: job.cancelAt, jobId}];
}

/**
 * Makes workers fail every task for WORKER_FAULT_MS: 2 % of them, at least two.
 * The same worker may be picked more than once.
 */
function workerFaults(
  {workers, options}: GeneratorInput,
  random: SeededRandom,
): readonly WorkloadEvent[] {
  const count = Math.max(2, Math.floor(workers.length / 50));
  const lengthMs = options.hours * HOUR_MS;
  return Array.from({length: count}, () => {
    const {workerId} = pick(workers, random);
    const at = after(STARTS_AT, Math.floor(random.next() * lengthMs));
    return [
      {kind: 'workerFault', at, workerId, failsTasks: true} as const,
      {
        kind: 'workerFault',
        at: after(at, WORKER_FAULT_MS),
        workerId,
        failsTasks: false,
      } as const,
    ];
  }).flat();
}

function powerCut(hours: number): readonly WorkloadEvent[] {
  const at = after(STARTS_AT, Math.floor(hours * 0.6 * HOUR_MS));
  return [
    {
      kind: 'power',
      at,
      power: {
        supply: 'generator',
        fuelKilowattHours: GENERATOR_FUEL_KILOWATT_HOURS,
        measuredAt: at,
      },
    },
    {kind: 'power', at: after(at, POWER_CUT_MS), power: {supply: 'grid'}},
  ];
}

class JobGenerator {
  private readonly created: WorkloadJob[] = [];
  /** Work still to be generated per customer, in accelerator milliseconds. */
  private readonly workLeft = new Map<CustomerId, number>();
  private readonly classes: readonly JobClass[];

  constructor(
    private readonly generation: GeneratorInput,
    private readonly random: SeededRandom,
    private readonly endsAt: Instant,
  ) {
    const {configuration, workers} = generation;
    this.classes = configuration.workClasses.filter(
      (workClass) => workClass.kind === 'job',
    );
    const accelerators = sumOf(workers, (worker) => worker.accelerators);
    const work = LOAD_SHARE * accelerators * (endsAt - STARTS_AT);
    const guaranteed = configuration.customers.map((customer) => ({
      customerId: customer.id,
      accelerators: guaranteedAccelerators(
        customer,
        generation.availabilityZone,
      ),
    }));
    const total = sumOf(guaranteed, (share) => share.accelerators);
    for (const share of guaranteed) {
      const part = share.accelerators / total;
      if (part > 0) this.workLeft.set(share.customerId, work * part);
    }
  }

  /** Generates each customer's work in proportion to its guarantees. */
  jobs(): readonly WorkloadJob[] {
    for (const customerId of this.workLeft.keys()) {
      const classes = this.classes.filter(
        (workClass) => workClass.customerId === customerId,
      );
      while (this.hasWorkLeft(customerId)) this.addBurst(classes);
    }
    this.addOversized();
    return this.created;
  }

  private hasWorkLeft(customerId: CustomerId): boolean {
    return (this.workLeft.get(customerId) ?? 0) > 0;
  }

  /**
   * Adds up to 3 jobs of one class within a minute, or up to 8 if their tasks
   * use one or two accelerators.
   */
  private addBurst(classes: readonly JobClass[]): void {
    const lengthMs = this.endsAt - STARTS_AT;
    const at = after(STARTS_AT, Math.floor(this.random.next() * lengthMs));
    const workClass = pick(classes, this.random);
    const isSmall = workClass.shape.acceleratorsPerTask <= 2;
    const count = 1 + this.random.nextBelow(isSmall ? 8 : 3);
    for (let index = 0; index < count; index += 1) {
      if (!this.hasWorkLeft(workClass.customerId)) return;
      this.add(workClass, after(at, this.random.nextBelow(MINUTE_MS)));
    }
  }

  /** Adds a gang that exceeds a rack; every policy must refuse it. */
  private addOversized(): void {
    const workClass = pick(this.classes, this.random);
    const shape = {tasks: 64, acceleratorsPerTask: 8};
    this.add({...workClass, shape}, after(STARTS_AT, HOUR_MS));
  }

  private add(workClass: JobClass, submittedAt: Instant): void {
    const {random} = this;
    const runTimeMs = Math.ceil(
      workClass.declaredRunTimeMs *
        logUniform(SHORTEST_RUN_FACTOR, LONGEST_RUN_FACTOR, random),
    );
    const {hasFaults = true} = this.generation.options;
    const fails = random.next() < FAILING_JOB_SHARE && hasFaults;
    const isCancelled = random.next() < CANCELLED_SHARE;
    const hasSlowCheckpoint = random.next() < SLOW_CHECKPOINT_SHARE;
    const {tasks, acceleratorsPerTask} = workClass.shape;
    if (!fails && !isCancelled) {
      const left = this.workLeft.get(workClass.customerId) ?? 0;
      const work = tasks * acceleratorsPerTask * runTimeMs;
      this.workLeft.set(workClass.customerId, left - work);
    }
    this.created.push({
      record: this.record(workClass, submittedAt, runTimeMs),
      runTimeMs,
      checkpointIntervalMs: (5 + random.nextBelow(16)) * MINUTE_MS,
      checkpointMs: hasSlowCheckpoint
        ? SLOW_CHECKPOINT_MS
        : 100 + random.nextBelow(LONGEST_CHECKPOINT_MS - 100),
      failsAfterMs: fails ? FAILING_JOB_MS : undefined,
      // A failing job is cancelled too, since it would never finish.
      cancelAt:
        isCancelled || fails ? nextCancellationTime(submittedAt) : undefined,
    });
  }

  private record(
    workClass: JobClass,
    submittedAt: Instant,
    runTimeMs: number,
  ): WorkloadJob['record'] {
    const factor = logUniform(
      LOWEST_DECLARED_FACTOR,
      HIGHEST_DECLARED_FACTOR,
      this.random,
    );
    const number = String(this.created.length).padStart(6, '0');
    return {
      jobId: trustedId(`job-${number}`),
      customerId: workClass.customerId,
      workClassId: workClass.id,
      availabilityZone: this.generation.availabilityZone,
      shape: workClass.shape,
      urgency: workClass.urgency,
      declaredRunTimeMs: Math.ceil(runTimeMs * factor),
      payload: '',
      submittedAt,
      state: 'queued',
      reason: '',
      sequence: 0,
      attempts: 0,
    };
  }
}

function guaranteedAccelerators(
  customer: Customer,
  zone: AvailabilityZone,
): number {
  const guarantees = customer.guarantees.filter(
    (guarantee) => guarantee.availabilityZone === zone,
  );
  return sumOf(guarantees, ({cellSize, cells}) => cellSize * cells);
}

function sumOf<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((sum, item) => sum + value(item), 0);
}

function nextCancellationTime(submittedAt: Instant): Instant {
  const since = submittedAt - STARTS_AT;
  const intervals = Math.floor(since / CANCELLATION_INTERVAL_MS) + 1;
  return after(STARTS_AT, intervals * CANCELLATION_INTERVAL_MS);
}

function logUniform(low: number, high: number, random: SeededRandom): number {
  return low * (high / low) ** random.next();
}

function pick<T>(items: readonly T[], random: SeededRandom): T {
  const item = items[random.nextBelow(items.length)];
  if (item === undefined) throw new RangeError('cannot pick from empty list');
  return item;
}

/**
 * Why a job waits or where it runs, in plain sentences for operators.
 */

import type {Instant} from '../model/ids.js';
import {cellSizeFor} from '../model/shapes.js';
import type {JobExplanation} from '../parties/peer_client.js';
import {sizeOfLevel} from './cells.js';
import type {CellCounts} from './packing.js';
import type {PlannedJob} from './planned_job.js';
import type {ZoneState} from './zone_state.js';

/** Gangs named in an explanation; more would not help an operator. */
const MAXIMUM_GANGS_NAMED = 8;

export function explainJob(
  state: ZoneState,
  job: PlannedJob,
  now: Instant,
): JobExplanation {
  switch (job.stage) {
    case 'starting':
      return only(job, `starts on ${workersOf(job)}`);
    case 'running':
      return only(job, `runs on ${workersOf(job)} ${rightOf(job)}`);
    case 'leaving':
      return only(
        job,
        'is checkpointed and stopped for guaranteed work and runs again later',
      );
    case 'reclaiming':
      return explainKept(
        state,
        job,
        'waits until borrowers have left its guaranteed cell',
      );
    case 'reserving':
      return explainKept(
        state,
        job,
        'waited too long and has a reserved cell that others cannot use',
      );
    case 'queued':
      return explainQueued(state, job, now);
  }
}

function only(job: PlannedJob, what: string): JobExplanation {
  return {
    jobId: job.jobId,
    summary: `Job ${job.jobId} ${what}.`,
    heldBy: [],
    freedBy: [],
  };
}

function explainKept(
  state: ZoneState,
  job: PlannedJob,
  what: string,
): JobExplanation {
  const gangs =
    job.cell === undefined
      ? []
      : [...state.full.conflictingGangs(job, job.cell)].filter(
          (gang) => gang !== job,
        );
  return {
    ...only(job, what),
    heldBy: named(gangs.map((gang) => describeGang(gang))),
    freedBy: named(gangs.map((gang) => describeEnd(state, gang))),
  };
}

function explainQueued(
  state: ZoneState,
  job: PlannedJob,
  now: Instant,
): JobExplanation {
  const {customerId} = job.record;
  if (cellSizeFor(job.record.shape) === undefined) {
    return only(job, 'can never run because its gang fits no rack');
  }
  if (!state.mayStart(job)) {
    const ceiling = state.customers.get(customerId)?.acceleratorCeiling ?? 0;
    const inUse = state.use.total(customerId);
    return {
      ...only(
        job,
        `needs ${job.accelerators} accelerators, and customer ${customerId} ` +
          `uses ${inUse} of its ceiling of ${ceiling}`,
      ),
      heldBy: namedGangsOf(state, job),
      freedBy: [`the end of a gang of customer ${customerId}`],
    };
  }
  const {notBefore} = job.history;
  if (notBefore !== undefined && notBefore > now) {
    const seconds = Math.ceil((notBefore - now) / 1000);
    return {
      ...only(
        job,
        `was preempted ${job.history.preemptions} times and is lent ` +
          `capacity again in ${seconds} s`,
      ),
      freedBy: [`free guaranteed cells of customer ${customerId}`],
    };
  }
  return explainFull(state, job);
}

function explainFull(state: ZoneState, job: PlannedJob): JobExplanation {
  const {customerId} = job.record;
  const largest = state.full.free.largestSize() ?? 0;
  const freedBy = [
    `the end of gangs so that ${job.cellSize} adjacent accelerators are free`,
  ];
  const share = state.guarantees.ofCustomer(customerId);
  const guarantee = describeGuarantee(share?.guaranteed ?? [], job);
  if (guarantee === 'is in use') {
    freedBy.push(`the end of a guaranteed gang of customer ${customerId}`);
  }
  const quarantined = state.health.quarantined();
  if (quarantined.length > 0) {
    freedBy.push(`the end of the quarantine of ${quarantined.join(', ')}`);
  }
  return {
    ...only(
      job,
      `waits for a free cell of ${job.cellSize} accelerators; the largest ` +
        `free cell has ${largest} and the customer's guarantee ${guarantee}`,
    ),
    heldBy: namedGangsOf(state, job),
    freedBy,
  };
}

/** Says why the customer's guarantee does not help the job now. */
function describeGuarantee(guaranteed: CellCounts, job: PlannedJob): string {
  const largest = guaranteed.findLastIndex((count) => count > 0);
  if (largest < 0) return 'does not cover this zone';
  const size = sizeOfLevel(largest);
  if (size < job.cellSize) return `has cells of ${size} at most`;
  return 'is in use';
}

/** The customer's own gangs, then others that are as large as the job. */
function namedGangsOf(state: ZoneState, job: PlannedJob): string[] {
  const placed = [...state.jobs.values()].filter((other) => other.placed);
  const own = placed.filter(
    (other) => other.record.customerId === job.record.customerId,
  );
  const others = placed.filter(
    (other) => !own.includes(other) && other.cellSize >= job.cellSize,
  );
  return named([...own, ...others].map((gang) => describeGang(gang)));
}

function named(sentences: readonly string[]): string[] {
  if (sentences.length <= MAXIMUM_GANGS_NAMED) return [...sentences];
  const more = sentences.length - MAXIMUM_GANGS_NAMED;
  return [...sentences.slice(0, MAXIMUM_GANGS_NAMED), `${more} more`];
}

function describeGang(gang: PlannedJob): string {
  return (
    `job ${gang.jobId} of customer ${gang.record.customerId} holds ` +
    `${gang.accelerators} accelerators ${rightOf(gang)}`
  );
}

function describeEnd(state: ZoneState, gang: PlannedJob): string {
  if (gang.stage === 'leaving') {
    return `job ${gang.jobId} is being checkpointed and stopped`;
  }
  const estimateMs = state.runTimes.estimate(gang.record);
  const minutes = Math.max(1, Math.round(estimateMs / 60_000));
  return `the end of job ${gang.jobId}, which runs for about ${minutes} min`;
}

function rightOf(gang: PlannedJob): string {
  return gang.guaranteed ? 'as guaranteed' : 'on lent capacity';
}

function workersOf(job: PlannedJob): string {
  const workers = job.placement?.tasks.map((task) => task.workerId) ?? [];
  return [...new Set(workers)].join(', ');
}

/** Explanations of where work would go, as text for terminals. */

import type {
  Explanation,
  GroupExplanation,
  UnitPlacement,
  UnitStops,
  WaitCause,
} from '../leader/planning/explanation.js';
import type {WorkerRule} from '../leader/planning/worker_review.js';
import type {RoundObstacle} from '../leader/planning/round_observer.js';

const RULES: Readonly<Record<WorkerRule, string>> = {
  notListed: 'no longer listed by the platform',
  replaced: 'with another worker at the address',
  runsUnknown: 'with runs that the leader may not know yet',
  closed: 'closed for maintenance or a move',
  evacuated: 'in an evacuated zone',
  draining: 'draining',
  silent: 'without an answer',
  quarantined: 'quarantined',
  otherRack: 'outside the rack of the data',
  isolated: 'with a run that is kept apart from all others',
  avoided: 'avoided after a failure of the unit there',
  labelMissing: 'without the required label',
  notAdmitted: "without a ticket of the queue's advisor",
  accelerators: 'with too few free accelerators',
  processorMillicores: 'with too little free processor time',
  memoryMegabytes: 'with too little free memory',
  tasksPerWorker: 'with as many tasks of the step as it allows',
  reserved: 'reserved for a gang that comes before',
  occupied: 'not vacant',
};

const OBSTACLES: Readonly<Record<RoundObstacle, string>> = {
  jobEnded: 'the job has ended',
  done: 'done',
  hasRuns: 'has runs',
  retryDelay: 'failed, and is tried again later',
  notDue: 'its time has not come',
  earlierSteps: 'tasks of earlier steps are not done',
  siteNotCalm: 'its next loss would end the job, and workers fall silent',
  startedTasks: 'the job has as many started tasks as its record can hold',
  crashAllowance: 'others of the step have to prove first that they run',
};

const CAUSES: Readonly<Record<WaitCause, string>> = {
  noWorker: 'the service has no worker',
  tickets: "the queue's advisor has to admit workers first",
  vacantWorker: 'for vacant workers, as it may crash workers',
  equalWork: 'work before it that needs no more found no room',
  reservation: 'for capacity that is reserved',
  rack: 'there is room, but not in one rack',
  room: 'there is not enough room',
};

const RANKS: Readonly<Record<Explanation['rank'], string>> = {
  guaranteed: "within the customer's guarantee, placed first",
  urgent: 'urgent beyond a guarantee, placed after all guaranteed work',
  other: 'not urgent, placed by the priority of its queue',
};

/** Returns the lines of the text. */
export function describeExplanation(explanation: Explanation): string[] {
  const {jobId, queue, customer, rank, units} = explanation;
  return [
    jobId === undefined ? 'submission, not sent' : `job ${jobId}`,
    queue === undefined
      ? '  queue      in no configuration'
      : `  queue      ${queue.queueId} at ${queue.host}${queue.pathPrefix}, ` +
        `service ${queue.serviceId}, priority ${queue.priority}`,
    customer === undefined
      ? '  customer   -'
      : `  customer   ${customer.customerId}: ` +
        `${customer.guaranteedAccelerators} accelerators guaranteed, ` +
        `${customer.heldAccelerators} of them held` +
        (customer.claimedAccelerators === undefined
          ? ''
          : `, ${customer.claimedAccelerators} claimed up to this job`),
    `  rank       ${rank}: ${RANKS[rank]}`,
    `  units      ${units.done} done, ${units.placed} placed, ` +
      `${units.ready} ready, ${units.notReady} not ready`,
    ...explanation.notReady.map(describeObstacle),
    ...explanation.groups.flatMap(describeGroup),
    ...(explanation.omittedGroups === 0
      ? []
      : [`  ${explanation.omittedGroups} more groups of units are not shown`]),
    ...describeOwnStops(explanation.ownStops),
  ];
}

function describeObstacle({
  obstacle,
  units,
  firstUnit,
  inMs,
}: Explanation['notReady'][number]): string {
  const text = textFor(OBSTACLES, obstacle);
  const time = inMs === undefined ? '' : `, the first in ${inMs} ms`;
  return `  not ready  ${counted(units, 'unit')} from ${firstUnit}: ${text}${time}`;
}

function describeGroup(group: GroupExplanation): string[] {
  const {place, workers, waiting} = group;
  const {withRoom} = workers;
  return [
    `  step ${group.step}: ${counted(group.units, 'unit')} of ` +
      `${counted(group.tasks, 'task')} from ${group.firstUnit}, ${TIMELINESS[group.timeliness] ?? group.timeliness}`,
    `    place    ${counted(place.unitsAhead, 'unit')} ahead, of ` +
      `${counted(place.jobsAhead, 'other job')}; ${place.unitsReady} ready in all`,
    `    workers  ${workers.considered} considered`,
    ...workers.ruledOut.map(
      ({rule, workers: count}) => `      ${count} ${textFor(RULES, rule)}`,
    ),
    `      ${withRoom.workers} with room for ` +
      `${counted(withRoom.tasks, 'task')}, ` +
      `${withRoom.tasksTogether} in workers that may be used together`,
    ...describePlacements(group.placed, group.placedUnits),
    ...describeStops(group.afterStops, group.unitsAfterStops),
    ...(waiting === undefined
      ? []
      : [
          `    waits    ${counted(waiting.units, 'unit')}: ${CAUSES[waiting.cause]}` +
            (waiting.startsInMs === undefined
              ? ''
              : `, expected in ${waiting.startsInMs} ms`),
        ]),
  ];
}

function counted(count: number, what: string): string {
  return `${count} ${what}${count === 1 ? '' : 's'}`;
}

const TIMELINESS: Readonly<Record<string, string>> = {
  inTime: 'in time for its objective',
  late: 'too late for its objective',
  useless: 'too late to be of use',
};

function describePlacements(
  placed: readonly UnitPlacement[],
  count: number,
): string[] {
  if (count === 0) return [];
  return [
    `    places   ${counted(count, 'unit')}`,
    ...placed.map((each) => `      ${each.unit} on ${workersOf(each)}`),
    ...omitted(count - placed.length, 'units'),
  ];
}

function describeStops(stops: readonly UnitStops[], count: number): string[] {
  if (count === 0) return [];
  return [
    `    stops    runs for ${counted(count, 'unit')} to be placed afterwards`,
    ...stops.flatMap((each) => [
      `      ${each.unit} on ${workersOf(each)}: ${counted(each.runCount, 'run')} ` +
        `(cost ${each.cost} core-seconds)`,
      ...each.runs.map(
        ({task, workerId, queueId, customerId}) =>
          `        ${task} on ${workerId}, queue ${queueId}, ` +
          `customer ${customerId ?? '-'}`,
      ),
      ...omitted(each.runCount - each.runs.length, 'runs'),
    ]),
    ...omitted(count - stops.length, 'units'),
  ];
}

function workersOf({workers, workerCount}: UnitPlacement): string {
  const listed = workers.map(({workerId, zone, rackId, tasks}) => {
    const where = rackId === undefined ? zone : `${zone}, ${rackId}`;
    return `${workerId} (${where})${tasks === 1 ? '' : ` x${tasks}`}`;
  });
  const more = workerCount - workers.length;
  return listed.join(', ') + (more === 0 ? '' : ` and ${more} more workers`);
}

function describeOwnStops({count, runs}: Explanation['ownStops']): string[] {
  if (count === 0) return [];
  return [
    `  stops      ${counted(count, 'run')} of this job`,
    ...runs.map(
      ({task, workerId, forJobId}) =>
        `    ${task} on ${workerId} ` +
        (forJobId === undefined
          ? 'as its worker leaves before it can end'
          : `for job ${forJobId}`),
    ),
    ...omitted(count - runs.length, 'runs'),
  ];
}

function omitted(count: number, what: string): string[] {
  return count <= 0 ? [] : [`      and ${count} more ${what}`];
}

/** A leader of a later release may name rules that this tool does not know. */
function textFor(texts: Readonly<Record<string, string>>, name: string) {
  return texts[name] ?? name;
}

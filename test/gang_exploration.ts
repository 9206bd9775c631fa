/**
 * Explores every interleaving of two schedulers that start a gang each on the
 * same accelerators of two workers, with the real decision code, over
 * messages that may be lost, late or doubled.
 */

import {instant, trustedId} from '../src/model/ids.js';
import type {GangId, JobId, TaskId, VmId} from '../src/model/ids.js';
import type {TaskList, TaskState, TaskStatus} from '../src/model/jobs.js';
import {findGangs} from '../src/scheduling/gang_adoption.js';
import {
  adoptGang,
  startGang,
  stepGang,
} from '../src/scheduling/gang_protocol.js';
import type {
  GangAction,
  GangEvent,
  GangState,
  GangStep,
} from '../src/scheduling/gang_state.js';

/** Time plays no part: every list proves absence, which is the harder case. */
const NOW = instant(0);

/** One repeated read covers the rule; more only repeat it. */
const MAXIMUM_READS = 2;

const WORKERS = ['w0', 'w1'].map((id) => trustedId<VmId>(id));

export interface Scenario {
  /** Schedulers that start a gang each on the same accelerators. */
  readonly owners: 1 | 2;
  /** Messages that are lost, late or doubled. */
  readonly faults: number;
  /** Schedulers that die and are followed by one that adopts. */
  readonly crashes: number;
  /** Gangs that are stopped by their scheduler at any moment. */
  readonly stops: number;
  /** False: trust the acknowledgement of a hold without reading the list. */
  readonly readBack: boolean;
  /** False: workers hold ids again that they have removed. */
  readonly refusesRemoved?: boolean;
}

interface Message {
  readonly owner: string;
  readonly gang: string;
  readonly action: Exclude<GangAction, {kind: 'started'}>;
  /** Set once the worker has carried the request out. */
  readonly answer?: GangEvent;
  /** The scheduler has given up waiting; it still takes the answer. */
  readonly late: boolean;
}

interface World {
  /** Per worker: state of each task that is on it. */
  readonly workers: ReadonlyArray<Readonly<Record<string, TaskState>>>;
  readonly refused: readonly string[];
  /** By owner and gang; a dead owner has none. */
  readonly machines: Readonly<Record<string, GangState>>;
  readonly messages: readonly Message[];
  readonly faults: number;
  readonly crashes: number;
  readonly stops: number;
}

export interface Exploration {
  readonly states: number;
  /** Final states in which some gang runs whole. */
  readonly wholeRuns: number;
  readonly violation: string | undefined;
}

/** Searches all states, each once; stops at the first violation. */
export function explore(scenario: Scenario): Exploration {
  const start = initialWorld(scenario);
  const seen = new Set<string>([keyOf(start)]);
  const open: World[] = [start];
  let wholeRuns = 0;
  for (let world = open.pop(); world !== undefined; world = open.pop()) {
    const next = successors(world, scenario);
    const violation = violationIn(world, next.length === 0);
    if (violation !== undefined) {
      return {states: seen.size, wholeRuns, violation};
    }
    if (next.length === 0 && runningGangs(world).length > 0) wholeRuns += 1;
    for (const successor of next.map(withoutIdleMessages)) {
      const key = keyOf(successor);
      if (seen.has(key)) continue;
      seen.add(key);
      open.push(successor);
    }
  }
  return {states: seen.size, wholeRuns, violation: undefined};
}

function taskId(gang: string, index: number): TaskId {
  return trustedId<TaskId>(`${gang}.${index}`);
}

function initialWorld({owners, faults, crashes, stops}: Scenario): World {
  let world: World = {
    workers: WORKERS.map(() => ({})),
    refused: [],
    machines: {},
    messages: [],
    faults,
    crashes,
    stops,
  };
  for (const gang of ['a', 'b'].slice(0, owners)) {
    const members = WORKERS.map((workerId, index) => ({
      taskId: taskId(gang, index),
      workerId,
    }));
    world = take(world, gang, gang, startGang(members, NOW, MAXIMUM_READS));
  }
  return world;
}

function take(
  world: World,
  owner: string,
  gang: string,
  step: GangStep,
): World {
  const sent = step.actions.flatMap((action): Message[] =>
    'taskId' in action || 'workerId' in action
      ? [messageOf(owner, gang, action)]
      : [],
  );
  return {
    ...world,
    machines: {...world.machines, [`${owner}/${gang}`]: intern(step.gang)},
    messages: [...world.messages, ...sent],
  };
}

function successors(world: World, scenario: Scenario): World[] {
  const next: World[] = [];
  const first = answersToTakeFirst(world);
  world.messages.forEach((message, index) => {
    if (first !== undefined && !first.includes(message)) return;
    const rest = world.messages.filter((_, other) => other !== index);
    next.push(deliver({...world, messages: rest}, message, scenario));
    if (world.faults === 0) return;
    const faulty = {...world, faults: world.faults - 1};
    next.push({...faulty, messages: [...world.messages, message]});
    if (message.late) {
      next.push({...faulty, messages: rest});
      return;
    }
    const given = once('late', [message], () =>
      intern({...message, late: true}),
    );
    next.push(tell({...faulty, messages: rest}, message, unclear(message)));
    next.push(
      tell({...faulty, messages: [...rest, given]}, message, unclear(message)),
    );
  });
  if (world.stops > 0) next.push(...stopSuccessors(world));
  if (world.crashes > 0) next.push(...crashSuccessors(world));
  const crashed = world.crashes < scenario.crashes;
  if (crashed && first === undefined) next.push(...adoptionSuccessors(world));
  return next.length === 0 ? watchSuccessors(world) : next;
}

/** Running gangs are watched; the watch matters once nothing else happens. */
function watchSuccessors(world: World): World[] {
  let next = world;
  for (const key of Object.keys(world.machines)) {
    const [owner, gang] = key.split('/');
    if (owner === undefined || gang === undefined) continue;
    WORKERS.forEach((workerId, index) => {
      const {tasks} = listOf(world, index);
      const list = {
        kind: 'listRead',
        workerId,
        requestedAt: NOW,
        tasks,
      } as const;
      next = tellGang(next, owner, gang, {...list, answersRead: false});
    });
  }
  return keyOf(next) === keyOf(world) ? [] : [next];
}

/** Drops answers that nobody waits for any more; they change nothing. */
function withoutIdleMessages(world: World): World {
  const messages = world.messages.filter((message) => !isIdle(world, message));
  if (messages.length === world.messages.length) return world;
  return {...world, messages};
}

function isIdle(world: World, message: Message): boolean {
  const machine = world.machines[`${message.owner}/${message.gang}`];
  const over =
    machine === undefined ||
    machine.phase === 'ended' ||
    machine.phase === 'removing';
  if (message.action.kind === 'list') return over;
  if (message.answer === undefined) return false;
  if (machine === undefined) return true;
  const {gang, actions} = stepOnce(machine, message.answer);
  return gang === machine && actions.length === 0;
}

/**
 * Finds a machine whose messages are all answers. Its events depend on no
 * other event, so that exploring them first loses no state of the workers.
 */
function answersToTakeFirst(world: World): readonly Message[] | undefined {
  if (world.crashes > 0 || world.stops > 0) return undefined;
  return Object.keys(world.machines)
    .map((key) =>
      world.messages.filter(({owner, gang}) => `${owner}/${gang}` === key),
    )
    .find(
      (messages) =>
        messages.length > 0 &&
        messages.every(({answer}) => answer !== undefined),
    );
}

function hasMachine(world: World, owner: string): boolean {
  return `${owner}/${owner}` in world.machines;
}

function stopSuccessors(world: World): World[] {
  const stopped = {...world, stops: world.stops - 1};
  const event: GangEvent = {
    kind: 'stopAsked',
    end: 'cancelled',
    checkpointMs: 0,
  };
  return ['a', 'b'].flatMap((gang) =>
    hasMachine(world, gang) ? [tellGang(stopped, gang, gang, event)] : [],
  );
}

function crashSuccessors(world: World): World[] {
  const living = ['a'].filter((owner) => hasMachine(world, owner));
  return living.map((owner) => ({
    ...world,
    crashes: world.crashes - 1,
    machines: Object.fromEntries(
      Object.entries(world.machines).filter(
        ([key]) => !key.startsWith(`${owner}/`),
      ),
    ),
    // What the dead scheduler sent may still arrive.
    messages: world.messages.map((message) =>
      message.owner === owner ? intern({...message, late: true}) : message,
    ),
  }));
}

/**
 * The following scheduler adopts at any moment what it has no machine for,
 * also gangs of the scheduler that lives.
 */
function adoptionSuccessors(world: World): World[] {
  const lists = WORKERS.map((_, index) => listOf(world, index));
  let next = world;
  for (const found of findGangs(lists, () => false)) {
    if (`c/${found.gangId}` in world.machines) continue;
    next = take(next, 'c', found.gangId, adoptGang(found, NOW));
  }
  return next === world ? [] : [next];
}

function listOf(world: World, index: number): TaskList {
  const tasks = Object.entries(world.workers[index] ?? {}).map(([id, state]) =>
    statusOf(id, state),
  );
  const workerId = WORKERS[index] ?? trustedId<VmId>('none');
  return {workerId, version: 0, leaving: false, tasks};
}

function statusOf(id: string, state: TaskState): TaskStatus {
  const gang = id.split('.')[0] ?? '';
  return {
    taskId: trustedId<TaskId>(id),
    gangId: trustedId<GangId>(gang),
    jobId: trustedId<JobId>(`job-${gang}`),
    customerId: trustedId('customer'),
    workClassId: trustedId('class'),
    members: WORKERS.map((workerId, index) => ({
      taskId: taskId(gang, index),
      workerId,
    })),
    accelerators: [0],
    guaranteed: false,
    payload: '',
    state,
  };
}

/** Carries a request out at its worker, or gives an answer to its sender. */
function deliver(world: World, message: Message, scenario: Scenario): World {
  if (message.answer !== undefined) return tell(world, message, message.answer);
  const {action} = message;
  const index =
    action.kind === 'list'
      ? WORKERS.indexOf(action.workerId)
      : Number('taskId' in action ? action.taskId.split('.')[1] : 0);
  const at = world.workers[index] ?? {};
  const {tasks, refused, answered} = once(
    `perform${index}`,
    [message, at, world.refused, scenario],
    () => {
      const performed = perform(world, index, message, scenario);
      return {
        tasks: intern(sorted(performed.tasks)),
        refused: intern(performed.refused),
        answered: intern({...message, answer: intern(performed.answer)}),
      };
    },
  );
  return {
    ...world,
    workers: world.workers.map((old, other) => (other === index ? tasks : old)),
    refused,
    messages: [...world.messages, answered],
  };
}

function sorted<T>(record: Readonly<Record<string, T>>) {
  return Object.fromEntries(Object.entries(record).sort());
}

interface Performed {
  readonly tasks: Readonly<Record<string, TaskState>>;
  readonly refused: readonly string[];
  readonly answer: GangEvent;
}

function perform(
  world: World,
  index: number,
  {action, gang}: Message,
  scenario: Scenario,
): Performed {
  const tasks = {...world.workers[index]};
  const {refused} = world;
  if (action.kind === 'list') {
    const list = listOf(world, index).tasks;
    const own = list.filter((task) => task.gangId === gang);
    const shown = scenario.readBack ? list : own;
    return {tasks, refused, answer: listAnswer(index, shown)};
  }
  const id = 'taskId' in action ? action.taskId : taskId(gang, index);
  const after = [...new Set([...refused, id])].sort();
  switch (action.kind) {
    case 'hold':
      if (refused.includes(id)) {
        return {tasks, refused, answer: {kind: 'holdRefused', taskId: id}};
      }
      tasks[id] = 'held';
      return {
        tasks,
        refused: after,
        answer: {kind: 'holdAcknowledged', taskId: id},
      };
    case 'release': {
      const found = id in tasks;
      if (found) tasks[id] = 'running';
      const kind = found ? 'released' : 'releaseNotFound';
      return {tasks, refused, answer: {kind, taskId: id}};
    }
    default: {
      delete tasks[id];
      const forgets = scenario.refusesRemoved === false;
      return {
        tasks,
        refused: forgets ? refused.filter((other) => other !== id) : after,
        answer: {kind: 'removed', taskId: id},
      };
    }
  }
}

function listAnswer(index: number, tasks: readonly TaskStatus[]): GangEvent {
  const workerId = WORKERS[index] ?? trustedId<VmId>('none');
  const answersRead = true;
  return {kind: 'listRead', workerId, tasks, requestedAt: NOW, answersRead};
}

/** What the sender concludes when no answer comes. */
function unclear(message: Message): GangEvent {
  return once('unclear', [message], () => intern(unclearEvent(message)));
}

function unclearEvent({action}: Message): GangEvent {
  switch (action.kind) {
    case 'list':
      return {kind: 'listFailed', workerId: action.workerId};
    case 'hold':
      return {kind: 'holdUnclear', taskId: action.taskId};
    case 'release':
      return {kind: 'releaseUnclear', taskId: action.taskId};
    case 'remove':
      return {kind: 'removeUnclear', taskId: action.taskId};
    default:
      throw new Error(`no message carries ${action.kind}`);
  }
}

function tell(world: World, {owner, gang}: Message, event: GangEvent): World {
  return tellGang(world, owner, gang, event);
}

function tellGang(
  world: World,
  owner: string,
  gang: string,
  event: GangEvent,
): World {
  const machine = world.machines[`${owner}/${gang}`];
  if (machine === undefined) return world;
  return take(world, owner, gang, stepOnce(machine, event));
}

function runningGangs(world: World): string[] {
  return ['a', 'b'].filter((gang) =>
    world.workers.every(
      (tasks, index) => tasks[`${gang}.${index}`] === 'running',
    ),
  );
}

function violationIn(world: World, final: boolean): string | undefined {
  const running = world.workers.map((tasks) =>
    Object.keys(tasks).filter((id) => tasks[id] === 'running'),
  );
  if (running.some((ids) => ids.length > 1)) {
    return `two tasks run on one accelerator: ${describe(world)}`;
  }
  if (!final) return undefined;
  const whole = runningGangs(world);
  const isPart = (id: string) => !whole.includes(id.charAt(0));
  if (running.flat().some(isPart)) {
    return `a part of a gang stays running: ${describe(world)}`;
  }
  const isHeld = (state: TaskState) => state === 'held';
  if (world.workers.some((tasks) => Object.values(tasks).some(isHeld))) {
    return `a held task stays behind: ${describe(world)}`;
  }
  const isSettled = ({phase}: GangState) =>
    phase === 'running' || phase === 'ended';
  if (Object.values(world.machines).every(isSettled)) return undefined;
  return `a gang is stuck: ${describe(world)}`;
}

function describe({workers, machines}: World): string {
  return JSON.stringify({workers, machines});
}

/** Values that were met before; equal values become one object. */
const interned = new Map<string, object>();
const idsOfValues = new WeakMap<object, number>();

function intern<T extends object>(value: T): T {
  if (idsOfValues.has(value)) return value;
  const text = JSON.stringify(value);
  const known = interned.get(text);
  if (known !== undefined) return known as T;
  idsOfValues.set(value, interned.size);
  interned.set(text, value);
  return value;
}

/** Number that equal values share; values are never changed in place. */
function idOf(value: object): number {
  return idsOfValues.get(value) ?? idsOfValues.get(intern(value)) ?? -1;
}

const results = new Map<string, unknown>();

/** Computes a result once for equal arguments. */
function once<T>(name: string, args: readonly object[], compute: () => T): T {
  const key = `${name}/${args.map(idOf).join('/')}`;
  const known = results.get(key);
  if (known !== undefined) return known as T;
  const result = compute();
  results.set(key, result);
  return result;
}

function messageOf(
  owner: string,
  gang: string,
  action: Message['action'],
): Message {
  return once(`${owner}/${gang}`, [action], () =>
    intern({owner, gang, action, late: false}),
  );
}

function stepOnce(gang: GangState, event: GangEvent): GangStep {
  return once('step', [gang, event], () => {
    const step = stepGang(gang, event, NOW);
    return {gang: intern(step.gang), actions: step.actions.map(intern)};
  });
}

const MACHINES = ['a/a', 'b/b', 'c/a', 'c/b'];

/** Messages in transit have no order, so the key sorts them. */
function keyOf(world: World): string {
  const {workers, refused, machines, messages} = world;
  const {faults, crashes, stops} = world;
  let key = `${idOf(refused)}/${faults}/${crashes}/${stops}`;
  for (const tasks of workers) key += `/${idOf(tasks)}`;
  for (const name of MACHINES) {
    const machine = machines[name];
    key += machine === undefined ? '/' : `/${idOf(machine)}`;
  }
  const ids = messages.map(idOf).sort((first, second) => first - second);
  return `${key}/${ids.join(',')}`;
}

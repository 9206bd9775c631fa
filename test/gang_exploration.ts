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
  readonly schedulers: 1 | 2;
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
  readonly scheduler: string;
  readonly gang: string;
  readonly action: Exclude<GangAction, {kind: 'started'}>;
  /** Set once the worker has carried the request out. */
  readonly answer?: GangEvent;
  /** The scheduler has given up waiting; it still takes the answer. */
  readonly late: boolean;
}

interface State {
  /** Per worker: state of each task that is on it. */
  readonly workers: ReadonlyArray<Readonly<Record<string, TaskState>>>;
  readonly refused: readonly string[];
  /** By scheduler and gang; a dead scheduler has none. */
  readonly gangs: Readonly<Record<string, GangState>>;
  readonly messages: readonly Message[];
  readonly faults: number;
  readonly crashes: number;
  readonly stops: number;
}

export interface Exploration {
  readonly states: number;
  /** Final states in which some gang runs whole. */
  readonly fullGangRuns: number;
  readonly violation: string | undefined;
}

/** Searches all states, each once; stops at the first violation. */
export function explore(scenario: Scenario): Exploration {
  const start = initialState(scenario);
  const seen = new Set<string>([keyOf(start)]);
  const open: State[] = [start];
  let fullGangRuns = 0;
  for (let state = open.pop(); state !== undefined; state = open.pop()) {
    const next = successors(state, scenario);
    const violation = violationIn(state, next.length === 0);
    if (violation !== undefined) {
      return {states: seen.size, fullGangRuns, violation};
    }
    if (next.length === 0 && runningGangs(state).length > 0) fullGangRuns += 1;
    for (const successor of next.map(withoutStaleMessages)) {
      const key = keyOf(successor);
      if (seen.has(key)) continue;
      seen.add(key);
      open.push(successor);
    }
  }
  return {states: seen.size, fullGangRuns, violation: undefined};
}

function taskId(gang: string, index: number): TaskId {
  return trustedId<TaskId>(`${gang}.${index}`);
}

function initialState({schedulers, faults, crashes, stops}: Scenario): State {
  let state: State = {
    workers: WORKERS.map(() => ({})),
    refused: [],
    gangs: {},
    messages: [],
    faults,
    crashes,
    stops,
  };
  for (const gang of ['a', 'b'].slice(0, schedulers)) {
    const members = WORKERS.map((workerId, index) => ({
      taskId: taskId(gang, index),
      workerId,
    }));
    state = apply(state, gang, gang, startGang(members, NOW, MAXIMUM_READS));
  }
  return state;
}

function apply(
  state: State,
  scheduler: string,
  gang: string,
  step: GangStep,
): State {
  const sent = step.actions.flatMap((action): Message[] =>
    'taskId' in action || 'workerId' in action
      ? [messageOf(scheduler, gang, action)]
      : [],
  );
  return {
    ...state,
    gangs: {...state.gangs, [`${scheduler}/${gang}`]: intern(step.gang)},
    messages: [...state.messages, ...sent],
  };
}

function successors(state: State, scenario: Scenario): State[] {
  const next: State[] = [];
  const first = answersToDeliver(state);
  state.messages.forEach((message, index) => {
    if (first !== undefined && !first.includes(message)) return;
    const rest = state.messages.filter((_, other) => other !== index);
    next.push(deliver({...state, messages: rest}, message, scenario));
    if (state.faults === 0) return;
    const faulty = {...state, faults: state.faults - 1};
    next.push({...faulty, messages: [...state.messages, message]});
    if (message.late) {
      next.push({...faulty, messages: rest});
      return;
    }
    const given = cached('late', [message], () =>
      intern({...message, late: true}),
    );
    next.push(step({...faulty, messages: rest}, message, unclear(message)));
    next.push(
      step({...faulty, messages: [...rest, given]}, message, unclear(message)),
    );
  });
  if (state.stops > 0) next.push(...stopSuccessors(state));
  if (state.crashes > 0) next.push(...crashSuccessors(state));
  const crashed = state.crashes < scenario.crashes;
  if (crashed && first === undefined) next.push(...adoptionSuccessors(state));
  return next.length === 0 ? monitoringSuccessors(state) : next;
}

/** Running gangs are watched; the watch matters once nothing else happens. */
function monitoringSuccessors(state: State): State[] {
  let next = state;
  for (const key of Object.keys(state.gangs)) {
    const [scheduler, gang] = key.split('/');
    if (scheduler === undefined || gang === undefined) continue;
    WORKERS.forEach((workerId, index) => {
      const {tasks} = listOf(state, index);
      const list = {
        kind: 'listRead',
        workerId,
        requestedAt: NOW,
        tasks,
      } as const;
      next = advance(next, scheduler, gang, {...list, answersRead: false});
    });
  }
  return keyOf(next) === keyOf(state) ? [] : [next];
}

/** Drops answers that nobody waits for any more; they change nothing. */
function withoutStaleMessages(state: State): State {
  const messages = state.messages.filter((message) => !isStale(state, message));
  if (messages.length === state.messages.length) return state;
  return {...state, messages};
}

function isStale(state: State, message: Message): boolean {
  const gangState = state.gangs[`${message.scheduler}/${message.gang}`];
  const over =
    gangState === undefined ||
    gangState.phase === 'ended' ||
    gangState.phase === 'removing';
  if (message.action.kind === 'list') return over;
  if (message.answer === undefined) return false;
  if (gangState === undefined) return true;
  const {gang, actions} = stepOnce(gangState, message.answer);
  return gang === gangState && actions.length === 0;
}

/**
 * Finds a machine whose messages are all answers. Its events depend on no
 * other event, so that exploring them first loses no state of the workers.
 */
function answersToDeliver(state: State): readonly Message[] | undefined {
  if (state.crashes > 0 || state.stops > 0) return undefined;
  return Object.keys(state.gangs)
    .map((key) =>
      state.messages.filter(
        ({scheduler, gang}) => `${scheduler}/${gang}` === key,
      ),
    )
    .find(
      (messages) =>
        messages.length > 0 &&
        messages.every(({answer}) => answer !== undefined),
    );
}

function hasGang(state: State, scheduler: string): boolean {
  return `${scheduler}/${scheduler}` in state.gangs;
}

function stopSuccessors(state: State): State[] {
  const stopped = {...state, stops: state.stops - 1};
  const event: GangEvent = {
    kind: 'stopAsked',
    end: 'cancelled',
    checkpointMs: 0,
  };
  return ['a', 'b'].flatMap((gang) =>
    hasGang(state, gang) ? [advance(stopped, gang, gang, event)] : [],
  );
}

function crashSuccessors(state: State): State[] {
  const living = ['a'].filter((scheduler) => hasGang(state, scheduler));
  return living.map((scheduler) => ({
    ...state,
    crashes: state.crashes - 1,
    gangs: Object.fromEntries(
      Object.entries(state.gangs).filter(
        ([key]) => !key.startsWith(`${scheduler}/`),
      ),
    ),
    // What the dead scheduler sent may still arrive.
    messages: state.messages.map((message) =>
      message.scheduler === scheduler
        ? intern({...message, late: true})
        : message,
    ),
  }));
}

/**
 * The following scheduler adopts at any moment what it has no machine for,
 * also gangs of the scheduler that lives.
 */
function adoptionSuccessors(state: State): State[] {
  const lists = WORKERS.map((_, index) => listOf(state, index));
  let next = state;
  for (const found of findGangs(lists, () => false)) {
    if (`c/${found.gangId}` in state.gangs) continue;
    next = apply(next, 'c', found.gangId, adoptGang(found, NOW));
  }
  return next === state ? [] : [next];
}

function listOf(state: State, index: number): TaskList {
  const tasks = Object.entries(state.workers[index] ?? {}).map(([id, state]) =>
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
function deliver(state: State, message: Message, scenario: Scenario): State {
  if (message.answer !== undefined) return step(state, message, message.answer);
  const {action} = message;
  const index =
    action.kind === 'list'
      ? WORKERS.indexOf(action.workerId)
      : Number('taskId' in action ? action.taskId.split('.')[1] : 0);
  const at = state.workers[index] ?? {};
  const {tasks, refused, answered} = cached(
    `perform${index}`,
    [message, at, state.refused, scenario],
    () => {
      const performed = executeRequest(state, index, message, scenario);
      return {
        tasks: intern(sorted(performed.tasks)),
        refused: intern(performed.refused),
        answered: intern({...message, answer: intern(performed.answer)}),
      };
    },
  );
  return {
    ...state,
    workers: state.workers.map((old, other) => (other === index ? tasks : old)),
    refused,
    messages: [...state.messages, answered],
  };
}

function sorted<T>(record: Readonly<Record<string, T>>) {
  return Object.fromEntries(Object.entries(record).sort());
}

interface RequestOutcome {
  readonly tasks: Readonly<Record<string, TaskState>>;
  readonly refused: readonly string[];
  readonly answer: GangEvent;
}

function executeRequest(
  state: State,
  index: number,
  {action, gang}: Message,
  scenario: Scenario,
): RequestOutcome {
  const tasks = {...state.workers[index]};
  const {refused} = state;
  if (action.kind === 'list') {
    const list = listOf(state, index).tasks;
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
  return cached('unclear', [message], () => intern(unclearEvent(message)));
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

function step(
  state: State,
  {scheduler, gang}: Message,
  event: GangEvent,
): State {
  return advance(state, scheduler, gang, event);
}

function advance(
  state: State,
  scheduler: string,
  gang: string,
  event: GangEvent,
): State {
  const gangState = state.gangs[`${scheduler}/${gang}`];
  if (gangState === undefined) return state;
  return apply(state, scheduler, gang, stepOnce(gangState, event));
}

function runningGangs(state: State): string[] {
  return ['a', 'b'].filter((gang) =>
    state.workers.every(
      (tasks, index) => tasks[`${gang}.${index}`] === 'running',
    ),
  );
}

function violationIn(state: State, final: boolean): string | undefined {
  const running = state.workers.map((tasks) =>
    Object.keys(tasks).filter((id) => tasks[id] === 'running'),
  );
  if (running.some((ids) => ids.length > 1)) {
    return `two tasks run on one accelerator: ${describe(state)}`;
  }
  if (!final) return undefined;
  const whole = runningGangs(state);
  const isPart = (id: string) => !whole.includes(id.charAt(0));
  if (running.flat().some(isPart)) {
    return `a part of a gang stays running: ${describe(state)}`;
  }
  const isHeld = (state: TaskState) => state === 'held';
  if (state.workers.some((tasks) => Object.values(tasks).some(isHeld))) {
    return `a held task stays behind: ${describe(state)}`;
  }
  const isSettled = ({phase}: GangState) =>
    phase === 'running' || phase === 'ended';
  if (Object.values(state.gangs).every(isSettled)) return undefined;
  return `a gang is stuck: ${describe(state)}`;
}

function describe({workers, gangs}: State): string {
  return JSON.stringify({workers, gangs});
}

/** Values that were met before; equal values become one object. */
const valuesByText = new Map<string, object>();
const idsOfValues = new WeakMap<object, number>();

function intern<T extends object>(value: T): T {
  if (idsOfValues.has(value)) return value;
  const text = JSON.stringify(value);
  const known = valuesByText.get(text);
  if (known !== undefined) return known as T;
  idsOfValues.set(value, valuesByText.size);
  valuesByText.set(text, value);
  return value;
}

/** Number that equal values share; values are never changed in place. */
function idOf(value: object): number {
  return idsOfValues.get(value) ?? idsOfValues.get(intern(value)) ?? -1;
}

const cachedResults = new Map<string, unknown>();

/** Computes a result once for equal arguments. */
function cached<T>(name: string, args: readonly object[], compute: () => T): T {
  const key = `${name}/${args.map(idOf).join('/')}`;
  const known = cachedResults.get(key);
  if (known !== undefined) return known as T;
  const result = compute();
  cachedResults.set(key, result);
  return result;
}

function messageOf(
  scheduler: string,
  gang: string,
  action: Message['action'],
): Message {
  return cached(`${scheduler}/${gang}`, [action], () =>
    intern({scheduler, gang, action, late: false}),
  );
}

function stepOnce(gang: GangState, event: GangEvent): GangStep {
  return cached('step', [gang, event], () => {
    const step = stepGang(gang, event, NOW);
    return {gang: intern(step.gang), actions: step.actions.map(intern)};
  });
}

const GANG_KEYS = ['a/a', 'b/b', 'c/a', 'c/b'];

/** Messages in transit have no order, so the key sorts them. */
function keyOf(state: State): string {
  const {workers, refused, gangs, messages} = state;
  const {faults, crashes, stops} = state;
  let key = `${idOf(refused)}/${faults}/${crashes}/${stops}`;
  for (const tasks of workers) key += `/${idOf(tasks)}`;
  for (const name of GANG_KEYS) {
    const gangState = gangs[name];
    key += gangState === undefined ? '/' : `/${idOf(gangState)}`;
  }
  const ids = messages.map(idOf).sort((first, second) => first - second);
  return `${key}/${ids.join(',')}`;
}

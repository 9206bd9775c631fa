/**
 * Model checker for the gang protocol. It explores every interleaving of two
 * schedulers that each start a gang on the same accelerators of two workers.
 * It runs the production decision code; messages can be lost, delayed or
 * duplicated.
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

/** With constant time every list can prove absence, the harder case. */
const NOW = instant(0);

/** One repeated read covers the rule; more reads add no new behaviour. */
const MAXIMUM_READS = 2;

const WORKERS = ['w0', 'w1'].map((id) => trustedId<VmId>(id));

export interface Scenario {
  /** Schedulers that each start a gang on the same accelerators. */
  readonly schedulers: 1 | 2;
  /** Maximum number of messages that are lost, delayed or duplicated. */
  readonly faults: number;
  /** Schedulers that crash; a successor then adopts their gangs. */
  readonly crashes: number;
  /** Gangs that their scheduler stops at an arbitrary time. */
  readonly stops: number;
  /** If false, lists show only the gang's own tasks, so conflicts go unseen. */
  readonly readBack: boolean;
  /** If false, workers accept holds of ids that they have removed. */
  readonly refusesRemoved?: boolean;
}

interface Message {
  readonly scheduler: string;
  readonly gang: string;
  readonly action: Exclude<GangAction, {kind: 'started'}>;
  /** Set once the worker has executed the request. */
  readonly answer?: GangEvent;
  /** The scheduler's call timed out; it still handles the answer. */
  readonly late: boolean;
}

interface State {
  /** Per worker, the state of each task on it by task id. */
  readonly workers: ReadonlyArray<Readonly<Record<string, TaskState>>>;
  /** Ids that workers do not hold again. */
  readonly refused: readonly string[];
  /** Keyed `scheduler/gang`; a crashed scheduler has no entries. */
  readonly gangs: Readonly<Record<string, GangState>>;
  readonly messages: readonly Message[];
  readonly faults: number;
  readonly crashes: number;
  readonly stops: number;
}

export interface Exploration {
  readonly states: number;
  /** Number of final states in which all members of some gang run. */
  readonly fullGangRuns: number;
  readonly violation: string | undefined;
}

/** Visits every reachable state once; stops at the first violation. */
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
    const timedOut = cached('late', [message], () =>
      intern({...message, late: true}),
    );
    next.push(step({...faulty, messages: rest}, message, unclear(message)));
    next.push(
      step(
        {...faulty, messages: [...rest, timedOut]},
        message,
        unclear(message),
      ),
    );
  });
  if (state.stops > 0) next.push(...stopSuccessors(state));
  if (state.crashes > 0) next.push(...crashSuccessors(state));
  const crashed = state.crashes < scenario.crashes;
  if (crashed && first === undefined) next.push(...adoptionSuccessors(state));
  return next.length === 0 ? monitoringSuccessors(state) : next;
}

/**
 * Delivers every worker's list to every gang. This monitoring of running gangs
 * only matters once no other event is left.
 */
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

/** Drops answers that can no longer change any state. */
function withoutStaleMessages(state: State): State {
  const messages = state.messages.filter((message) => !isStale(state, message));
  if (messages.length === state.messages.length) return state;
  return {...state, messages};
}

function isStale(state: State, message: Message): boolean {
  const gangState = state.gangs[`${message.scheduler}/${message.gang}`];
  const hasEnded =
    gangState === undefined ||
    gangState.phase === 'ended' ||
    gangState.phase === 'removing';
  if (message.action.kind === 'list') return hasEnded;
  if (message.answer === undefined) return false;
  if (gangState === undefined) return true;
  const {gang, actions} = stepOnce(gangState, message.answer);
  return gang === gangState && actions.length === 0;
}

/**
 * Returns the messages of a gang for which all messages are answers. These
 * events depend on no others, so exploring them first misses no state of the
 * workers.
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
  const running = ['a'].filter((scheduler) => hasGang(state, scheduler));
  return running.map((scheduler) => ({
    ...state,
    crashes: state.crashes - 1,
    gangs: Object.fromEntries(
      Object.entries(state.gangs).filter(
        ([key]) => !key.startsWith(`${scheduler}/`),
      ),
    ),
    // Requests of the crashed scheduler may still arrive.
    messages: state.messages.map((message) =>
      message.scheduler === scheduler
        ? intern({...message, late: true})
        : message,
    ),
  }));
}

/**
 * The successor can adopt gangs at any time, including those of a scheduler
 * that is still running. It skips gangs that it already manages.
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

/** Executes a request on its worker, or delivers an answer to its sender. */
function deliver(state: State, message: Message, scenario: Scenario): State {
  if (message.answer !== undefined) return step(state, message, message.answer);
  const {action} = message;
  const index =
    action.kind === 'list'
      ? WORKERS.indexOf(action.workerId)
      : Number('taskId' in action ? action.taskId.split('.')[1] : 0);
  const tasksBefore = state.workers[index] ?? {};
  const {tasks, refused, answered} = cached(
    `perform${index}`,
    [message, tasksBefore, state.refused, scenario],
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

/** The event that the sender derives from a missing answer. */
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
    return `only a part of a gang keeps running: ${describe(state)}`;
  }
  const isHeld = (state: TaskState) => state === 'held';
  if (state.workers.some((tasks) => Object.values(tasks).some(isHeld))) {
    return `a held task is never removed: ${describe(state)}`;
  }
  const isSettled = ({phase}: GangState) =>
    phase === 'running' || phase === 'ended';
  if (Object.values(state.gangs).every(isSettled)) return undefined;
  return `a gang never starts or ends: ${describe(state)}`;
}

function describe({workers, gangs}: State): string {
  return JSON.stringify({workers, gangs});
}

/** Interned values by their JSON; equal values share one object. */
const valuesByText = new Map<string, object>();
const idsOfValues = new WeakMap<object, number>();

function intern<T extends object>(value: T): T {
  if (idsOfValues.has(value)) return value;
  const text = JSON.stringify(value);
  const existing = valuesByText.get(text);
  if (existing !== undefined) return existing as T;
  idsOfValues.set(value, valuesByText.size);
  valuesByText.set(text, value);
  return value;
}

/** Id shared by equal values; values must not be mutated. */
function idOf(value: object): number {
  return idsOfValues.get(value) ?? idsOfValues.get(intern(value)) ?? -1;
}

const cachedResults = new Map<string, unknown>();

/** Memoizes the result by name and arguments. */
function cached<T>(name: string, args: readonly object[], compute: () => T): T {
  const key = `${name}/${args.map(idOf).join('/')}`;
  const existing = cachedResults.get(key);
  if (existing !== undefined) return existing as T;
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

/** Messages in transit are unordered, so the key sorts them. */
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

/**
 * Chooses the runs whose stop frees room for a unit at the least loss of work.
 */

import type {Instant} from '../model/ids.js';
import type {Run, Unit} from './jobs.js';
import type {Room} from './rooms.js';
import {NO_SHAPE, addShape} from './rooms.js';

/** What an accelerator counts against a core in the users' prices. */
const CORES_PER_ACCELERATOR = 8;

/** A checkpointing task loses at most what it did since its last checkpoint. */
const CHECKPOINT_LOSS_MS = 1_000;

/** Added per stop, so that of equal losses the one with fewer stops is taken. */
const STOP_COST = 5;

export interface VictimChoice {
  /** Runs to stop that are not being stopped yet, whole units of them. */
  readonly victims: readonly Run[];
  readonly taken: ReadonlyArray<{room: Room; count: number}>;
  /** Work that the stops lose, in core-seconds. */
  readonly cost: number;
}

interface Increment {
  readonly room: Room;
  readonly slots: number;
  readonly cost: number;
  readonly victims: readonly Run[];
}

/** Returns undefined if no group can hold the unit. */
export function cheapestVictims(
  unit: Unit,
  groups: ReadonlyArray<readonly Room[]>,
  isBorrower: (run: Run) => boolean,
  now: Instant,
): VictimChoice | undefined {
  let best: VictimChoice | undefined;
  for (const group of groups) {
    const found = victimsIn(unit, group, isBorrower, now);
    if (found !== undefined && found.cost < (best?.cost ?? Infinity)) {
      best = found;
    }
  }
  return best;
}

function victimsIn(
  unit: Unit,
  group: readonly Room[],
  isBorrower: (run: Run) => boolean,
  now: Instant,
): VictimChoice | undefined {
  const increments = group
    .flatMap((room) => incrementsOf(unit, room, isBorrower, now))
    .sort((a, b) => a.cost / a.slots - b.cost / b.slots);
  const taken = new Map<Room, number>();
  const victims = new Set<Run>();
  let slots = 0;
  let cost = 0;
  for (const increment of increments) {
    if (slots >= unit.taskCount) break;
    const count = Math.min(increment.slots, unit.taskCount - slots);
    taken.set(increment.room, (taken.get(increment.room) ?? 0) + count);
    slots += count;
    cost += increment.cost;
    for (const run of increment.victims) {
      for (const member of run.unit.runs) victims.add(member);
    }
  }
  if (slots < unit.taskCount) return undefined;
  return {
    cost,
    victims: [...victims].filter(({phase}) => phase !== 'stopping'),
    taken: [...taken].map(([room, count]) => ({room, count})),
  };
}

/**
 * Slots of a room by rising cost: first what is free or being stopped, then
 * what each further victim adds.
 */
function incrementsOf(
  unit: Unit,
  room: Room,
  isBorrower: (run: Run) => boolean,
  now: Instant,
): Increment[] {
  let extra = NO_SHAPE;
  const candidates: Array<{run: Run; cost: number}> = [];
  for (const run of room.worker.runs.values()) {
    if (run.phase === 'stopping') extra = addShape(extra, run);
    else if (isBorrower(run)) candidates.push({run, cost: lossOf(run, now)});
  }
  candidates.sort((a, b) => a.cost - b.cost);
  const increments: Increment[] = [];
  let slots = room.slots(unit, extra);
  if (slots > 0) increments.push({room, slots, cost: 0, victims: []});
  let pending: Run[] = [];
  let pendingCost = 0;
  for (const {run, cost} of candidates) {
    extra = addShape(extra, run);
    pending.push(run);
    pendingCost += cost;
    const reached = room.slots(unit, extra);
    if (reached <= slots) continue;
    increments.push({
      room,
      slots: reached - slots,
      cost: pendingCost,
      victims: pending,
    });
    slots = reached;
    pending = [];
    pendingCost = 0;
  }
  return increments;
}

/**
 * Work, in core-seconds, that a unit does within a time. An accelerator counts
 * as several cores.
 */
export function workOf(
  {taskCount: width, step}: Unit,
  durationMs: number,
): number {
  const cores =
    step.shape.processorMillicores / 1_000 +
    step.shape.accelerators * CORES_PER_ACCELERATOR;
  return (cores * width * durationMs) / 1_000;
}

/** Work that stopping the run's whole unit would lose, in core-seconds. */
function lossOf(run: Run, now: Instant): number {
  const {unit, step} = run;
  const ranMs = Math.max(0, now - run.plannedAt);
  const lostMs =
    step.checkpointing === true ? Math.min(ranMs, CHECKPOINT_LOSS_MS) : ranMs;
  return workOf(unit, lostMs) + STOP_COST;
}

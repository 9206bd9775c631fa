/**
 * Cuts during a soak, several in a row: soon after a gang has started, a share of
 * all workers is cut off from the daemons, and workers crash on both sides of the
 * cut. Runs behind it end by themselves, with their gang or by a stop order, and
 * their worker may crash before a daemon has read the end.
 */

import type {HttpPlatform} from '../emulator/http_platform.js';
import type {EmulatedWorker} from '../emulator/worker_state.js';
import type {RunName} from '../src/interfaces/task_worker.js';
import type {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {RandomSource} from '../src/lifecycle/random.js';
import type {VmId} from '../src/model/ids.js';
import {linkFaultsSchema} from '../src/standins/fault_link.js';
import type {FaultLink, LinkFaults} from '../src/standins/fault_link.js';
import {FaultSeries} from './fault_series.js';
import type {SeriesOptions} from './fault_series.js';
import {pick} from './random_choice.js';

const OPTIONS: SeriesOptions = {
  rounds: [2, 3],
  gapMs: [0, 100],
  pauseMs: [500, 2_000],
};
const CRASH_DELAY_MS = [50, 600] as const;

/** Time from a possible crash behind the cut to the end of the cut. */
const REMAINING_CUT_MS = [50, 600] as const;

/** Time from the start of a gang to the cut. */
const CUT_DELAY_MS = [20, 150] as const;

/** Share of rounds in which all workers of the gang are cut off. */
const CUT_MEMBERS_SHARE = 0.5;

/** A round begins after this time if no gang starts. */
const START_LIMIT_MS = 1_500;
const POLL_INTERVAL_MS = 10;

/** The third one lets orders through, but none of the answers. */
const CUTS: ReadonlyArray<Partial<LinkFaults>> = [
  {cut: true},
  {freeze: 'both'},
  {freeze: 'to-client'},
  {freeze: 'both', frozenForGood: false},
];
const NO_LINK_FAULTS = linkFaultsSchema.parse({});

interface GangRun {
  readonly gang: string;
  readonly run: number;
}

interface SpreadGang extends GangRun {
  /** VMs of the workers that the run has for itself. */
  readonly vmIds: readonly VmId[];
}

export class CutSeries extends FaultSeries {
  private followed: SpreadGang | undefined;
  private isPlaying = false;

  constructor(
    platform: HttpPlatform,
    private readonly workerLinks: ReadonlyMap<VmId, FaultLink>,
    random: RandomSource,
    scope: CleanupScope,
  ) {
    super(platform, random, scope, OPTIONS);
  }

  /** Does nothing if a series is under way. */
  override async play(): Promise<void> {
    if (this.isPlaying) return;
    this.isPlaying = true;
    await super.play();
    this.isPlaying = false;
  }

  /** Rounds follow one gang, whose workers all crash. */
  protected override async playRound(): Promise<void> {
    await this.followGang();
    await this.scope.sleep(this.between(CUT_DELAY_MS));
    if (this.isOver) return;
    const members =
      this.spreadGangs().find(({gang}) => gang === this.followed?.gang)
        ?.vmIds ?? [];
    const crashingVms = new Set([...this.randomVms(), ...members]);
    const areMembersCut = this.random.next() < CUT_MEMBERS_SHARE;
    const cutVms = new Set([
      ...this.randomVms(),
      ...(areMembersCut ? members : []),
    ]);
    await Promise.all(
      [...this.workerLinks].map(async ([vmId, link]) => {
        const crashDelayMs = this.between(CRASH_DELAY_MS);
        if (cutVms.has(vmId)) {
          void this.cutOff(link, crashDelayMs + this.between(REMAINING_CUT_MS));
        }
        await this.scope.sleep(crashDelayMs);
        if (crashingVms.has(vmId)) this.crash(vmId);
      }),
    );
  }

  /** A later fault of the link replaces the cut. */
  private async cutOff(link: FaultLink, durationMs: number): Promise<void> {
    const cut = linkFaultsSchema.parse(pick(this.random, CUTS));
    link.faults = cut;
    await this.scope.sleep(durationMs);
    if (link.faults === cut) link.faults = NO_LINK_FAULTS;
  }

  /** Waits for the next run of the gang, or else for another gang to start. */
  private async followGang(): Promise<void> {
    const {followed} = this;
    const known = new Set(this.spreadGangs().map(({gang}) => gang));
    const again =
      followed &&
      (await this.waitForGang(
        ({gang, run}) => gang === followed.gang && run > followed.run,
      ));
    this.followed =
      again ?? (await this.waitForGang(({gang}) => !known.has(gang)));
  }

  private async waitForGang(
    isExpected: (gang: SpreadGang) => boolean,
  ): Promise<SpreadGang | undefined> {
    const deadline = Date.now() + START_LIMIT_MS;
    while (Date.now() < deadline && !this.isOver) {
      const gang = this.spreadGangs().find(isExpected);
      if (gang !== undefined) return gang;
      await this.scope.sleep(POLL_INTERVAL_MS);
    }
    return undefined;
  }

  /** Runs of gangs that have several workers for themselves. */
  private spreadGangs(): SpreadGang[] {
    const found = new Map<string, SpreadGang>();
    for (const worker of this.platform.site.workers.values()) {
      const {vmId} = worker.entry;
      const here = this.gangAloneOn(worker);
      if (here === undefined || vmId === undefined) continue;
      const {gang, run} = here;
      const {vmIds} = found.get(gang) ?? {vmIds: []};
      found.set(gang, {gang, run, vmIds: [...vmIds, vmId]});
    }
    return [...found.values()].filter(({vmIds}) => vmIds.length > 1);
  }

  private gangAloneOn({runNames}: EmulatedWorker): GangRun | undefined {
    const [first] = runNames;
    if (first === undefined) return undefined;
    const {gangWidth} = this.platform.site.ledger.behaviour(first.task);
    const gang = gangOf(first);
    const isAlone = runNames.every((run) => gangOf(run) === gang);
    return gangWidth > 1 && isAlone ? {gang, run: first.run} : undefined;
  }
}

/** Names of tasks end with the index of the gang's member. */
function gangOf({task}: RunName): string {
  return task.slice(0, task.lastIndexOf('.'));
}

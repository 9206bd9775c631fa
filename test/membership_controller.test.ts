/**
 * Guards against zones that have two owners or none for longer than the peer
 * timeout, and against configuration changes that do not spread while the store
 * is unavailable. Timers are mocked, and each daemon has its own clock.
 */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {Result} from 'true-myth';
import type {ConfigurationController} from '../src/controllers/configuration_controller.js';
import {MembershipController} from '../src/controllers/membership_controller.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {UnavailableError} from '../src/model/errors.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {AvailabilityZone, VmId} from '../src/model/ids.js';
import {heartbeatSchema} from '../src/interfaces/peer_client.js';
import type {Heartbeat, QueueLength} from '../src/interfaces/peer_client.js';
import type {EntryVm} from '../src/interfaces/vm_list.js';
import {
  ManualClock,
  MemoryStore,
  customerEdit,
  newConfigurationController,
} from './control_fakes.js';

const STEP_MS = 100;
const PEER_TIMEOUT_MS = 2_000;
const NORTH = trustedId<AvailabilityZone>('north');
const SOUTH = trustedId<AvailabilityZone>('south');
const MINION = trustedId<VmId>('minion-1');

interface Daemon {
  readonly address: string;
  readonly entryVm: EntryVm;
  readonly clock: ManualClock;
  readonly scope: CleanupScope;
  readonly membership: MembershipController;
  readonly configuration: ConfigurationController;
  /** Neither sends nor answers. */
  unresponsive: boolean;
  /** Its clock does not advance. */
  frozen: boolean;
  queueLengths: QueueLength[];
  readonly received: Array<{from: string; heartbeat: Heartbeat}>;
}

class Site {
  readonly daemons: Daemon[] = [];
  vmListAvailable = true;
  private readonly store = new MemoryStore();

  constructor() {
    this.store.fault = () => 'down';
  }

  start(
    name: string,
    zone: AvailabilityZone,
    seeds: string[] = [],
    address = `10.0.0.${this.daemons.length + 1}:7000`,
  ): Daemon {
    const scope = new CleanupScope();
    const clock = new ManualClock();
    const configuration = newConfigurationController(this.store, scope);
    const daemon: Daemon = {
      address,
      entryVm: {
        role: 'entry',
        vmId: trustedId(name),
        availabilityZone: zone,
        address,
        state: 'live',
      },
      clock,
      scope,
      configuration,
      unresponsive: false,
      frozen: false,
      queueLengths: [],
      received: [],
      membership: new MembershipController({
        daemonId: trustedId(`${name}-run-${this.daemons.length}`),
        vmId: trustedId(name),
        availabilityZone: zone,
        address,
        seeds,
        peerTimeoutMs: PEER_TIMEOUT_MS,
        peers: {
          heartbeat: (to, heartbeat) => this.deliver(daemon, to, heartbeat),
          configurationSince: async (to, version) => {
            const peer = this.findReachable(daemon, to);
            if (!peer) return Result.err(unreachableError());
            return Result.ok(peer.configuration.configurationSince(version));
          },
        },
        vms: {
          loaded: true,
          entryVms: () => (this.vmListAvailable ? this.entryVms() : []),
          vm: () => undefined,
          onChange: () => () => {},
        },
        configuration,
        queueLengths: () => daemon.queueLengths,
        clock,
        scope,
        log: () => {},
      }),
    };
    this.daemons.push(daemon);
    daemon.membership.start();
    return daemon;
  }

  /** Advances the clocks of all daemons that are not frozen, and the timers. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
      for (const {clock, frozen} of this.daemons) {
        if (!frozen) clock.advance(STEP_MS);
      }
      mock.timers.tick(STEP_MS);
      await this.deliverPending();
    }
  }

  /** Delivers all messages in flight. */
  async deliverPending(): Promise<void> {
    for (let i = 0; i < 5; i += 1) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  scheduler(zone: AvailabilityZone): Daemon {
    const owners = this.daemons.filter(
      (daemon) => !daemon.unresponsive && daemon.membership.isScheduler(),
    );
    const own = owners.filter(
      ({membership}) => membership.schedulerOf(zone)?.self,
    );
    assert.equal(own.length, 1, `${own.length} schedulers of ${zone}`);
    return own[0] as Daemon;
  }

  private findReachable(from: Daemon, to: string): Daemon | undefined {
    if (from.unresponsive) return undefined;
    return this.daemons.findLast((d) => d.address === to && !d.unresponsive);
  }

  private async deliver(from: Daemon, to: string, heartbeat: Heartbeat) {
    const peer = this.findReachable(from, to);
    if (!peer) return Result.err(unreachableError());
    heartbeatSchema.parse(heartbeat);
    peer.received.push({from: from.address, heartbeat});
    return Result.ok(peer.membership.receiveHeartbeat(heartbeat));
  }

  private entryVms(): EntryVm[] {
    return this.daemons.map(({entryVm}) => entryVm);
  }
}

function unreachableError(): UnavailableError {
  return new UnavailableError('not reachable', 'wait');
}

describe('membership', {timeout: 30_000}, () => {
  let site: Site;

  beforeEach(() => {
    mock.timers.enable({apis: ['setInterval', 'setTimeout']});
    site = new Site();
  });
  afterEach(async () => {
    for (const {scope} of site.daemons) await scope.close();
    mock.timers.reset();
  });

  async function startZone(count: number, zone = NORTH): Promise<void> {
    for (let i = 0; i < count; i += 1) site.start(`${zone}-${i}`, zone);
    await site.advance(1_000);
  }

  it('agrees on one owner per zone and per minion', async () => {
    await startZone(5);
    site.scheduler(NORTH);
    const homes = site.daemons.map(
      ({membership}) => membership.homeDaemonOf(NORTH, MINION)?.vmId,
    );
    assert.equal(new Set(homes).size, 1);
    const own = site.daemons.filter((d) => d.membership.isHomeOf(MINION));
    assert.equal(own.length, 1);
  });

  it('replaces an unavailable scheduler within the peer timeout', async () => {
    await startZone(4);
    const unavailable = site.scheduler(NORTH);
    const events: number[] = [];
    for (const {membership} of site.daemons) {
      membership.onChange(({owners}) => events.push(owners.length));
    }
    unavailable.unresponsive = true;
    await site.advance(PEER_TIMEOUT_MS + 2 * STEP_MS);
    assert.notEqual(site.scheduler(NORTH), unavailable);
    // Each of the other three daemons notifies its listeners once.
    assert.equal(events.filter((owners) => owners === 3).length, 3);
  });

  it('ends ownership of a leaving daemon with its next heartbeat', async () => {
    await startZone(3);
    const leaving = site.scheduler(NORTH);
    leaving.membership.leave();
    await site.deliverPending();
    assert.notEqual(site.scheduler(NORTH), leaving);
    assert.equal(leaving.membership.isHomeOf(MINION), false);
    for (const {membership} of site.daemons) {
      assert.equal(membership.owners(NORTH).length, 2);
      assert.equal(membership.liveDaemons(NORTH).length, 3);
    }
  });

  it('owns nothing after a pause until its peers have answered', async () => {
    await startZone(3);
    const paused = site.scheduler(NORTH);
    paused.unresponsive = true;
    paused.frozen = true;
    await site.advance(10_000);
    const next = site.scheduler(NORTH);
    paused.clock.advance(10_000);
    assert.equal(paused.membership.isScheduler(), false);
    assert.equal(next.membership.isScheduler(), true);
    paused.frozen = false;
    paused.unresponsive = false;
    await site.advance(600);
    assert.equal(paused.membership.settled, true);
    assert.equal(site.scheduler(NORTH), paused);
  });

  it('takes ownership after a pause if no peer answers in time', async () => {
    await startZone(2);
    const [alone] = site.daemons;
    assert.ok(alone);
    alone.unresponsive = true;
    alone.clock.advance(PEER_TIMEOUT_MS + 1);
    assert.equal(alone.membership.isScheduler(), false);
    await site.advance(PEER_TIMEOUT_MS + 2 * STEP_MS);
    assert.equal(alone.membership.isScheduler(), true);
  });

  it('spreads a new configuration to all zones without the store', async () => {
    await startZone(4);
    await startZone(4, SOUTH);
    await site.advance(6_000);
    site.daemons[0]?.configuration.receive({
      kind: 'changes',
      changes: [
        {
          id: trustedId('change-a'),
          version: 1,
          baseVersion: 0,
          author: 'operator',
          acceptedAt: instant(1),
          edit: customerEdit('guild'),
        },
      ],
    });
    // No time passes, so that only immediate heartbeats carry the change.
    await site.deliverPending();
    await site.deliverPending();
    for (const {configuration} of site.daemons) {
      assert.equal(configuration.version, 1);
    }
  });

  it('sends heartbeats to at most two daemons of a remote zone', async () => {
    await startZone(1);
    await startZone(6, SOUTH);
    const [north] = site.daemons;
    assert.ok(north);
    await site.advance(12_000);
    const linked = () =>
      site.daemons.filter(({received}) =>
        received.some(({from}) => from === north.address),
      );
    assert.equal(linked().length, 2);
    // Two unresponsive daemons are replaced by two others.
    for (const daemon of linked()) daemon.unresponsive = true;
    await site.advance(20_000);
    assert.equal(linked().length, 4);
  });

  it('reports queue lengths after a change, a loss and a restart', async () => {
    await startZone(2);
    const home = site.daemons.find((d) => d.membership.isHomeOf(MINION));
    const other = site.daemons.find((d) => d !== home);
    assert.ok(home && other);
    const length = () => other.membership.queueLength(NORTH, MINION);
    home.queueLengths = [{minionId: MINION, queued: 7}];
    await site.advance(600);
    assert.equal(length()?.queued, 7);
    other.received.length = 0;
    await site.advance(2_000);
    for (const {heartbeat} of other.received) {
      assert.deepEqual(heartbeat.queueLengths, []);
    }
    assert.ok((length()?.ageMs ?? Infinity) <= 600);
    other.unresponsive = true;
    home.queueLengths = [{minionId: MINION, queued: 3}];
    await site.advance(1_000);
    other.unresponsive = false;
    await site.advance(600);
    assert.equal(length()?.queued, 3);
    other.unresponsive = true;
    const restarted = site.start('again', NORTH, [], other.address);
    await site.advance(1_200);
    const seen = restarted.received.flatMap((r) => r.heartbeat.queueLengths);
    assert.deepEqual(seen[0], {minionId: MINION, queued: 3});
  });

  it('splits queue lengths that exceed the limit of a heartbeat', async () => {
    await startZone(2);
    const [home, other] = site.daemons;
    assert.ok(home && other);
    home.queueLengths = Array.from({length: 1_500}, (_, i) => ({
      minionId: trustedId<VmId>(`minion-${i}`),
      queued: i,
    }));
    other.received.length = 0;
    // A rejected heartbeat would make the daemon appear unavailable.
    await site.advance(2_000);
    const counts = other.received.map((r) => r.heartbeat.queueLengths.length);
    assert.deepEqual(counts.slice(0, 3), [1_000, 500, 0]);
  });

  it('discovers all peers from one seed without the VM list', async () => {
    site.vmListAvailable = false;
    const first = site.start('north-a', NORTH);
    await site.advance(3_000);
    site.start('north-b', NORTH, [first.address]);
    site.start('north-c', NORTH, [first.address]);
    await site.advance(1_500);
    for (const {membership} of site.daemons) {
      assert.equal(membership.owners(NORTH).length, 3);
    }
  });

  it('ignores late heartbeats of an earlier incarnation', async () => {
    await startZone(2);
    const [first, second] = site.daemons;
    assert.ok(first && second);
    const late = first.received.at(-1)?.heartbeat;
    assert.ok(late);
    second.unresponsive = true;
    site.start('north-1', NORTH, [], second.address);
    await site.advance(1_200);
    first.membership.receiveHeartbeat(late);
    const ids = first.membership.liveDaemons(NORTH).map((m) => m.daemonId);
    assert.deepEqual(ids.sort(), ['north-0-run-0', 'north-1-run-2']);
  });
});

/**
 * A small site for integration tests: a fleet, the questionnaires of two
 * customers, and the steps that most tests begin with.
 */

import {OperatorClient} from '../cli/operator_client.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {randomId, trustedId} from '../model/ids.js';
import type {ChangeId} from '../model/ids.js';
import type {Questionnaire} from '../model/questionnaire.js';
import {SiteFixture} from './site_fixture.js';
import type {DaemonProcess, Fleet, SiteOptions} from './site_fixture.js';

const POLL_MS = 25;
const LIMIT_MS = 30_000;

export const ZONE_A = 'zone-a';
export const ZONE_B = 'zone-b';

/** Two zones with two entry VMs, two workers and two minions each. */
export const SMALL_FLEET: Fleet = {
  site: 'small site',
  zones: [ZONE_A, ZONE_B].map((name) => ({
    name: trustedId(name),
    entryVms: 2,
    racks: [2],
    minions: 2,
  })),
  acceleratorsPerWorker: 8,
  slotsPerMinion: 4,
  connectionsPerMinion: 64,
};

const SITE_QUESTIONNAIRE: Questionnaire = {
  kind: 'site',
  name: 'small site',
  availabilityZones: [trustedId(ZONE_A), trustedId(ZONE_B)],
  completionTimeWeight: 1,
  fragmentationWeight: 1,
};

/** `owner` has a guarantee in zone A, `borrower` has none. */
export const OWNER = 'owner';
export const BORROWER = 'borrower';

/** A customer with jobs of 1, 8 and 16 accelerators and two requests. */
export function customerQuestionnaire(
  id: string,
  guaranteedAccelerators: number,
  adjacentBlock: 8 | 16 = 8,
): Questionnaire {
  const availabilityZone = trustedId<never>(ZONE_A);
  return {
    kind: 'customer',
    id: trustedId(id),
    name: `customer ${id}`,
    guaranteed:
      guaranteedAccelerators > 0
        ? [
            {
              availabilityZone,
              accelerators: guaranteedAccelerators,
              adjacentBlock,
            },
          ]
        : [],
    mostAcceleratorsAtOnce: 64,
    weight: 1,
    work: [
      longJob('single', 1, 1),
      longJob('worker', 1, 8),
      longJob('pair', 2, 8),
      shortRequest('check', false),
      shortRequest('scan', true),
    ],
    mostRequestsPerSecond: 2_000,
  };
}

function longJob(name: string, tasks: number, acceleratorsPerTask: number) {
  return {
    kind: 'long job',
    name: trustedId<never>(name),
    tasks,
    acceleratorsPerTask,
    usualRunTimeMinutes: 1,
    when: 'can wait',
  } as const;
}

function shortRequest(name: string, billed: boolean) {
  return {
    kind: 'short request',
    name: trustedId<never>(name),
    mayBeRepeated: !billed,
    billed,
    callerWaitsSeconds: 5,
  } as const;
}

/** Only checks may run more than once. */
export function isRepeatable(_customerId: string, workClassId: string) {
  return workClassId === 'check';
}

/** Starts the small site and puts its questionnaires in force everywhere. */
export async function startSmallSite(
  scope: CleanupScope,
  options: SiteOptions = {},
  fleet: Fleet = SMALL_FLEET,
): Promise<SiteFixture> {
  const site = await SiteFixture.start(scope, fleet, options);
  const [daemon] = site.daemons;
  if (!daemon) throw new Error('no daemon was started');
  const questionnaires = [
    SITE_QUESTIONNAIRE,
    customerQuestionnaire(OWNER, 16),
    customerQuestionnaire(BORROWER, 0),
  ];
  for (const questionnaire of questionnaires) {
    const applied = await applyQuestionnaire(daemon, questionnaire);
    if (applied.isErr) throw applied.error;
    // Guarantees are checked against the list of VMs, which may lag.
    if (questionnaire.kind === 'site') await waitForWorkers(daemon, fleet);
  }
  const version = questionnaires.length;
  await Promise.all(
    site.daemons.map((other) => waitForVersion(other, version)),
  );
  return site;
}

/** Waits until the daemon's list of VMs has all workers of the fleet. */
async function waitForWorkers(
  daemon: DaemonProcess,
  fleet: Fleet,
): Promise<void> {
  const client = new OperatorClient(daemon.operators);
  await waitUntil(`${daemon.vmId} lists all workers`, async () => {
    const status = await client.status();
    return (
      status.isOk &&
      fleet.zones.every(({name, racks}) => {
        const expected = racks.reduce((sum, workers) => sum + workers, 0);
        const zone = status.value.zones.find(
          ({availabilityZone}) => availabilityZone === name,
        );
        return zone?.workers === expected;
      })
    );
  });
}

export function applyQuestionnaire(
  daemon: DaemonProcess,
  questionnaire: Questionnaire,
  changeId = randomId<ChangeId>('change'),
) {
  return new OperatorClient(daemon.operators).submitQuestionnaire({
    changeId,
    author: 'test',
    questionnaire,
    checkOnly: false,
  });
}

/** Waits until the daemon has at least this configuration version. */
export async function waitForVersion(
  daemon: DaemonProcess,
  version: number,
): Promise<void> {
  const client = new OperatorClient(daemon.operators);
  await waitUntil(`${daemon.vmId} has version ${version}`, async () => {
    const status = await client.status();
    return status.isOk && status.value.configurationVersion >= version;
  });
}

/** Returns the daemon that schedules the zone, as the zone's daemons agree. */
export async function schedulerOf(
  site: SiteFixture,
  zone: string,
): Promise<DaemonProcess> {
  let found: DaemonProcess | undefined;
  await waitUntil(`${zone} has one scheduler`, async () => {
    const running = site
      .daemonsOf(zone)
      .filter((daemon) => daemon.process.isRunning);
    const names = await Promise.all(
      running.map(async (daemon) => {
        const status = await new OperatorClient(daemon.operators).status();
        const zones = status.isOk ? status.value.zones : [];
        return zones.find((entry) => entry.availabilityZone === zone)
          ?.scheduler;
      }),
    );
    found = running.find((daemon) => daemon.vmId === names[0]);
    return found !== undefined && new Set(names).size === 1;
  });
  if (!found) throw new Error(`${zone} has no scheduler`);
  return found;
}

/** Polls a condition; throws with its description after a long time. */
export async function waitUntil(
  description: string,
  holds: () => boolean | Promise<boolean>,
  limitMs = LIMIT_MS,
): Promise<void> {
  const limit = performance.now() + limitMs;
  while (!(await holds())) {
    if (performance.now() > limit) throw new Error(`never: ${description}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

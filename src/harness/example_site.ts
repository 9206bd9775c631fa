/**
 * Defines the small site that integration tests share: its fleet, the
 * questionnaires of two customers, and helpers for set-up and waiting.
 */

import {OperatorClient} from '../cli/operator_client.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {randomId, trustedId} from '../model/ids.js';
import type {ChangeId} from '../model/ids.js';
import type {Questionnaire} from '../model/questionnaire.js';
import {SiteFixture} from './site_fixture.js';
import type {DaemonProcess, Fleet, SiteOptions} from './site_fixture.js';

const POLL_INTERVAL_MS = 25;
const DEFAULT_TIMEOUT_MS = 30_000;

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

/**
 * Customers of the small site: `owner` has a guarantee in zone A, `borrower`
 * has none.
 */
export const OWNER = 'owner';
export const BORROWER = 'borrower';

/**
 * Returns the questionnaire of a customer with jobs of 1, 8 and 16 accelerators
 * and two kinds of requests. The guarantee is in zone A; 0 means none.
 */
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

/** Only requests of the class `check` may run more than once. */
export function isRepeatable(_customerId: string, workClassId: string) {
  return workClassId === 'check';
}

/** Starts the small site and waits until every daemon has its questionnaires. */
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
    const result = await applyQuestionnaire(daemon, questionnaire);
    if (result.isErr) throw result.error;
    // Guarantees are validated against the VM list, which may lag behind.
    if (questionnaire.kind === 'site') await waitForWorkers(daemon, fleet);
  }
  const version = questionnaires.length;
  await Promise.all(
    site.daemons.map((otherDaemon) => waitForVersion(otherDaemon, version)),
  );
  return site;
}

/** Waits until the daemon's VM list contains all workers of the fleet. */
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

/** Waits until all running daemons of the zone name the same scheduler. */
export async function waitForScheduler(
  site: SiteFixture,
  zone: string,
): Promise<DaemonProcess> {
  let scheduler: DaemonProcess | undefined;
  await waitUntil(`${zone} has one scheduler`, async () => {
    const running = site
      .daemonsInZone(zone)
      .filter((daemon) => daemon.process.isRunning);
    const schedulers = await Promise.all(
      running.map(async (daemon) => {
        const status = await new OperatorClient(daemon.operators).status();
        const zones = status.isOk ? status.value.zones : [];
        return zones.find((entry) => entry.availabilityZone === zone)
          ?.scheduler;
      }),
    );
    scheduler = running.find((daemon) => daemon.vmId === schedulers[0]);
    return scheduler !== undefined && new Set(schedulers).size === 1;
  });
  if (!scheduler) throw new Error(`${zone} has no scheduler`);
  return scheduler;
}

/** Polls a condition; throws an error with its description on timeout. */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<void> {
  const limit = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > limit) throw new Error(`timed out: ${description}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

/** Checks the stored audit trail of configuration changes. */

import {z} from 'zod';
import {HEAD_KEY} from '../controllers/configuration_store.js';
import {
  configurationChangeSchema,
  configurationHeadSchema,
} from '../model/configuration.js';
import type {ConfigurationChange} from '../model/configuration.js';
import type {StoreEntry} from '../interfaces/key_value_store.js';

const SEGMENT_PREFIX = 'audit/configuration/';
const segmentSchema = z.object({changes: z.array(configurationChangeSchema)});

/** A change that a daemon accepted, with the version it reported. */
export interface AcceptedChange {
  readonly changeId: string;
  readonly version: number;
}

/**
 * Returns one message per accepted change that the audit trail does not hold
 * exactly once under its version, and per version that is missing or has two
 * changes.
 */
export function findAuditViolations(
  entries: readonly StoreEntry[],
  accepted: readonly AcceptedChange[],
): string[] {
  const changeIds = new Map<number, string>();
  const violations: string[] = [];
  for (const {version, id} of storedChanges(entries)) {
    // A writer that crashes may leave a change both in the head record and in
    // a segment.
    const knownId = changeIds.get(version) ?? id;
    if (knownId !== id) {
      violations.push(
        `version ${version} has the changes ${knownId} and ${id}`,
      );
    }
    changeIds.set(version, id);
  }
  for (
    let version = 1;
    version <= Math.max(0, ...changeIds.keys());
    version += 1
  ) {
    if (!changeIds.has(version)) violations.push(`version ${version} missing`);
  }
  for (const {changeId, version} of accepted) {
    const storedVersions = [...changeIds].flatMap(([storedVersion, id]) =>
      id === changeId ? [storedVersion] : [],
    );
    if (storedVersions.length === 1 && storedVersions[0] === version) continue;
    violations.push(
      `change ${changeId} was accepted as version ${version} and is stored ` +
        `as versions [${storedVersions.join(', ')}]`,
    );
  }
  return violations;
}

function storedChanges(entries: readonly StoreEntry[]): ConfigurationChange[] {
  return entries.flatMap(({key, value}) => {
    if (key === HEAD_KEY) {
      return configurationHeadSchema.parse(JSON.parse(value)).recentChanges;
    }
    if (!key.startsWith(SEGMENT_PREFIX)) return [];
    return segmentSchema.parse(JSON.parse(value)).changes;
  });
}

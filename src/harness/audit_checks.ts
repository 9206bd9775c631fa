/** Checks the audit trail of configuration changes as the store holds it. */

import {z} from 'zod';
import {HEAD_KEY} from '../controllers/configuration_store.js';
import {
  configurationChangeSchema,
  configurationHeadSchema,
} from '../model/configuration.js';
import type {ConfigurationChange} from '../model/configuration.js';
import type {StoreEntry} from '../parties/key_value_store.js';

const SEGMENT_PREFIX = 'audit/configuration/';
const segmentSchema = z.object({changes: z.array(configurationChangeSchema)});

/** A change that an operator was told to be in force. */
export interface AcceptedChange {
  readonly changeId: string;
  readonly version: number;
}

/** One sentence per accepted change that is not exactly once in the trail. */
export function findAuditViolations(
  entries: readonly StoreEntry[],
  accepted: readonly AcceptedChange[],
): string[] {
  const idOf = new Map<number, string>();
  const violations: string[] = [];
  for (const {version, id} of storedChanges(entries)) {
    // A writer that dies leaves changes in the head and in a segment.
    const known = idOf.get(version) ?? id;
    if (known !== id) {
      violations.push(`version ${version} is ${known} and ${id}`);
    }
    idOf.set(version, id);
  }
  for (let version = 1; version <= Math.max(0, ...idOf.keys()); version += 1) {
    if (!idOf.has(version)) violations.push(`version ${version} is missing`);
  }
  for (const {changeId, version} of accepted) {
    const found = [...idOf].flatMap(([at, id]) =>
      id === changeId ? [at] : [],
    );
    if (found.length === 1 && found[0] === version) continue;
    violations.push(
      `change ${changeId} was accepted as version ${version} and is stored ` +
        `as versions [${found.join(', ')}]`,
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

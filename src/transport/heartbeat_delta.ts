/**
 * Delta encoding of heartbeats. Most fields stay the same between heartbeats,
 * so a connection carries only the fields that changed since the previous one.
 */

import {z} from 'zod';
import {heartbeatSchema} from '../interfaces/peer_client.js';
import type {Heartbeat} from '../interfaces/peer_client.js';

/**
 * Exactly one field is set. Not a union, since the errors of a union do not
 * name the malformed field.
 */
export const heartbeatMessageSchema = z.strictObject({
  full: heartbeatSchema.optional(),
  /** Fields that changed since the previous heartbeat on this connection. */
  changed: heartbeatSchema.partial().optional(),
});
/**
 * A heartbeat or the answer to one. `changed` may be sent only if every
 * earlier heartbeat on the connection was answered.
 */
export type HeartbeatMessage = z.infer<typeof heartbeatMessageSchema>;

/** Fields that keep their previous value if a message omits them. */
const RETAINED_FIELDS = [
  'daemonId',
  'vmId',
  'availabilityZone',
  'address',
  'leaving',
  'configurationVersion',
] as const satisfies ReadonlyArray<keyof Heartbeat>;

/** Returns `heartbeat` as a message relative to `previous`. */
export function encodeHeartbeat(
  heartbeat: Heartbeat,
  previous: Heartbeat | undefined,
): HeartbeatMessage {
  if (!previous) return {full: heartbeat};
  const changed: Partial<Record<keyof Heartbeat, unknown>> = {};
  for (const field of RETAINED_FIELDS) {
    if (heartbeat[field] !== previous[field]) changed[field] = heartbeat[field];
  }
  if (heartbeat.queueLengths.length > 0) {
    changed.queueLengths = heartbeat.queueLengths;
  }
  if (heartbeat.peerAddresses) changed.peerAddresses = heartbeat.peerAddresses;
  return {changed: changed as Partial<Heartbeat>};
}

/** Returns undefined if the message needs a previous heartbeat and has none. */
export function decodeHeartbeat(
  message: HeartbeatMessage,
  previous: Heartbeat | undefined,
): Heartbeat | undefined {
  if (message.full) return message.full;
  if (!previous || !message.changed) return undefined;
  const heartbeat = {...previous, queueLengths: [], ...message.changed};
  if (!message.changed.peerAddresses) delete heartbeat.peerAddresses;
  return heartbeat as Heartbeat;
}

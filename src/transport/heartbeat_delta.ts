/**
 * Heartbeats on the wire. Nearly all fields of a heartbeat are the same each
 * time; a connection carries only what changed since the one before.
 */

import {z} from 'zod';
import {heartbeatSchema} from '../parties/peer_client.js';
import type {Heartbeat} from '../parties/peer_client.js';

/** One of the two is given; a union would hide which field is malformed. */
export const heartbeatMessageSchema = z.strictObject({
  full: heartbeatSchema.optional(),
  /** Fields that changed since the last heartbeat on this connection. */
  changed: heartbeatSchema.partial().optional(),
});
/**
 * A heartbeat or the answer to one. `changed` may be sent only if every
 * earlier heartbeat on the connection was answered.
 */
export type HeartbeatMessage = z.infer<typeof heartbeatMessageSchema>;

/** Fields that stay as they were if a message does not name them. */
const RETAINED_FIELDS = [
  'daemonId',
  'vmId',
  'availabilityZone',
  'address',
  'leaving',
  'configurationVersion',
] as const satisfies ReadonlyArray<keyof Heartbeat>;

/** Returns the message that turns `before` into `heartbeat`. */
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

/** Returns undefined if the message refers to a heartbeat that is unknown. */
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

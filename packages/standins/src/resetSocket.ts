import type { Socket } from 'node:net';

/**
 * Resets a connection as a process that crashes does. One whose end is being sent is closed instead:
 * Node.js 20 refuses to reset it and keeps its handle, so that the process never exits.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded && !socket.writableFinished) socket.destroy();
  else socket.resetAndDestroy();
}

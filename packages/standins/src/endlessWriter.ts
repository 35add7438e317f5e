import type { Socket } from 'node:net';

/** Writes a block again and again until the connection closes, as fast as it is read. */
export function writeWithoutEnd(socket: Socket, block: Buffer | string): void {
  const write = () => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on('drain', write);
  write();
}

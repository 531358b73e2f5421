import type { Socket } from "node:net";

/** Time for which bytes of the peer are discarded before a connection closes. */
const lingerMilliseconds = 2000;

/**
 * Makes `destroySoon` of a socket, with which Node.js closes a connection after
 * its last response, wait for the peer. A socket that is closed with unread bytes
 * resets the connection, and a reset discards the part of the response that the
 * peer has not read. The socket first closes its own direction only, and closes
 * when the peer does or the time is up (RFC 9112, section 9.6).
 * @param socket Socket of a server with `allowHalfOpen`, whose data is read.
 */
export function lingerOnClose(socket: Socket): void {
  socket.destroySoon = () => {
    socket.end();
    const startTimer = () => {
      const timer = setTimeout(() => socket.destroy(), lingerMilliseconds);
      socket.once("close", () => clearTimeout(timer));
    };
    const destroy = () => socket.destroy();
    if (socket.readableEnded) {
      runWhenFinished(socket, destroy);
      return;
    }
    socket.once("end", () => runWhenFinished(socket, destroy));
    runWhenFinished(socket, startTimer);
  };
}

/** Runs a function once all bytes were passed to the operating system. */
function runWhenFinished(socket: Socket, run: () => void): void {
  if (socket.writableFinished) {
    run();
  } else {
    socket.once("finish", run);
  }
}

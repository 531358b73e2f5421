import { connect } from "node:net";

/**
 * Sends bytes on a new connection to a loopback port.
 * @param port The port.
 * @param bytes What to send, as Latin-1 text.
 * @returns Everything that is received until the connection ends.
 */
export function sendBytes(port: number, bytes: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, "127.0.0.1");
    let received = "";
    socket.setEncoding("latin1");
    socket.on("data", (chunk: string) => received += chunk);
    socket.on("end", () => resolve(received));
    socket.on("error", reject);
    socket.write(bytes, "latin1");
  });
}

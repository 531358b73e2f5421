import { getServiceKey, type ServiceName } from "../membership/mod.ts";
import type { NodeSession, SessionStream } from "./node_session.ts";

/** The open sessions of an instance, by node, stream and viewed service. */
export class SessionRegistry {
  readonly #byNode = new Map<string, NodeSession>();
  readonly #byStream = new Map<SessionStream, NodeSession>();
  readonly #byService = new Map<string, Set<NodeSession>>();

  get size(): number {
    return this.#byNode.size;
  }

  /**
   * Adds a session.
   * @param session The session.
   * @returns The session of the same node that it replaces, if any.
   */
  add(session: NodeSession): NodeSession | undefined {
    const replaced = this.#byNode.get(session.nodeKey);
    if (replaced !== undefined) {
      this.remove(replaced);
    }
    const previous = this.#byStream.get(session.stream);
    if (previous !== undefined) {
      this.remove(previous);
    }
    this.#byNode.set(session.nodeKey, session);
    this.#byStream.set(session.stream, session);
    return replaced?.stream === session.stream ? undefined : replaced;
  }

  remove(session: NodeSession): void {
    if (this.#byNode.get(session.nodeKey) === session) {
      this.#byNode.delete(session.nodeKey);
    }
    if (this.#byStream.get(session.stream) === session) {
      this.#byStream.delete(session.stream);
    }
    for (const service of session.viewedServices) {
      this.removeView(session, service);
    }
  }

  getByNode(nodeKey: string): NodeSession | undefined {
    return this.#byNode.get(nodeKey);
  }

  getByStream(stream: SessionStream): NodeSession | undefined {
    return this.#byStream.get(stream);
  }

  /** Gets the sessions whose nodes have views of a service. */
  getByService(name: ServiceName): Iterable<NodeSession> {
    return this.#byService.get(getServiceKey(name)) ?? [];
  }

  addView(session: NodeSession, service: string): void {
    const key = this.#getKey(session, service);
    const sessions = this.#byService.get(key) ?? new Set();
    sessions.add(session);
    this.#byService.set(key, sessions);
  }

  removeView(session: NodeSession, service: string): void {
    const key = this.#getKey(session, service);
    const sessions = this.#byService.get(key);
    sessions?.delete(session);
    if (sessions?.size === 0) {
      this.#byService.delete(key);
    }
  }

  values(): Iterable<NodeSession> {
    return [...this.#byNode.values()];
  }

  /** Gets the environments that have sessions. */
  getEnvironments(): ReadonlySet<string> {
    return new Set(
      [...this.#byNode.values()].map(({ hello }) => hello.environment),
    );
  }

  /** Gets the sessions of an environment. */
  *getByEnvironment(environment: string): Iterable<NodeSession> {
    for (const session of this.#byNode.values()) {
      if (session.hello.environment === environment) {
        yield session;
      }
    }
  }

  #getKey(session: NodeSession, service: string): string {
    return getServiceKey({ environment: session.hello.environment, service });
  }
}

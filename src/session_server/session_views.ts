import {
  type Directory,
  type ServiceName,
  ViewPlanner,
} from "../membership/mod.ts";
import type { DocumentParts } from "./document_parts.ts";
import type { NodeSession } from "./node_session.ts";
import type { SessionRegistry } from "./session_registry.ts";

/** What {@link SessionViews} works with. */
export interface SessionViewsOptions {
  readonly directory: Directory;
  readonly sessions: SessionRegistry;
  getParts(environment: string): DocumentParts | undefined;
  /** Gets the monotonic time, in milliseconds. */
  now(): number;
}

// Targets that change together go out in one message. Adds to the time in
// which a drain reaches all nodes (limit 3 s).
const flushDelayMilliseconds = 50;

/** Keeps the views of nodes in line with the targets and the document. */
export class SessionViews {
  readonly #options: SessionViewsOptions;
  readonly #planner: ViewPlanner;
  /** Calls that the views of open sessions follow, by environment. */
  readonly #callGraphKeys = new Map<string, string>();
  #flushTimer: NodeJS.Timeout | undefined;
  #isCollecting = true;

  /** @param options The targets, the sessions and the documents. */
  constructor(options: SessionViewsOptions) {
    this.#options = options;
    this.#planner = new ViewPlanner(
      options.directory,
      (name) => this.#getCallers(name),
    );
  }

  /** Reports whether views may lack targets because this process is new. */
  get isCollecting(): boolean {
    return this.#isCollecting;
  }

  /** Sends views to a new session. */
  open(session: NodeSession): void {
    this.#updateServices(session);
  }

  /** Sends the view of a service for which a node asked. */
  request(session: NodeSession, service: string): void {
    session.requestedServices.add(service);
    this.#updateServices(session);
    session.sendFullView(service, {
      collecting: this.#isCollecting,
      now: this.#options.now(),
    });
  }

  /** Follows the calls that a document declares. */
  updateCallGraph(
    environment: string,
    { callGraphKey: callText }: DocumentParts,
  ): void {
    // Other messages can read a revision before it is announced here.
    if (callText === this.#callGraphKeys.get(environment)) {
      return;
    }
    this.#callGraphKeys.set(environment, callText);
    this.#planner.clear();
    for (
      const session of this.#options.sessions.getByEnvironment(environment)
    ) {
      this.#updateServices(session);
      session.viewedServices.forEach((each) => this.#send(session, each));
    }
  }

  /** Sends changes of targets soon, several in one message. */
  scheduleFlush(): void {
    this.#flushTimer ??= setTimeout(() => {
      this.#flushTimer = undefined;
      this.#flush();
    }, flushDelayMilliseconds);
  }

  /**
   * Sends what changed, and digests of all views once nothing is missing.
   * @param isCollecting Whether targets may still be missing.
   */
  step(isCollecting: boolean): void {
    const hasCollected = this.#isCollecting && !isCollecting;
    this.#isCollecting = isCollecting;
    this.#flush();
    if (hasCollected) {
      for (const session of this.#options.sessions.values()) {
        session.viewedServices.forEach((each) =>
          this.#send(session, each, true)
        );
      }
    }
  }

  /** Stops sending. */
  stop(): void {
    clearTimeout(this.#flushTimer);
  }

  /** Sends what changed to all sessions that have views of it. */
  #flush(): void {
    const changed = new Map<string, ServiceName>();
    for (const name of this.#options.directory.takeChangedServices()) {
      const { environment, service } = name;
      changed.set(`${environment}\0${service}`, name);
      // Their targets are spread over the nodes of the changed service.
      for (const callee of this.#getCallees(name)) {
        changed.set(`${environment}\0${callee}`, {
          environment,
          service: callee,
        });
      }
    }
    for (const name of changed.values()) {
      this.#planner.invalidate(name);
      for (const session of this.#options.sessions.getByService(name)) {
        this.#send(session, name.service);
      }
    }
  }

  /** Brings the set of a session's views in line with the document. */
  #updateServices(session: NodeSession): void {
    const { sessions } = this.#options;
    const wanted = new Set([
      session.hello.service,
      ...this.#getCallees(session.hello),
      ...session.requestedServices,
    ]);
    for (const known of session.viewedServices) {
      if (!wanted.has(known)) {
        sessions.removeView(session, known);
        session.dropView(known);
      }
    }
    for (const each of wanted) {
      if (!session.viewedServices.includes(each)) {
        sessions.addView(session, each);
        this.#send(session, each);
      }
    }
  }

  #send(session: NodeSession, service: string, hasDigest = false): void {
    const { directory, now } = this.#options;
    const { environment } = session.hello;
    session.sendView(
      service,
      this.#planner.getView({ environment, service }, session.hello),
      {
        collecting: this.#isCollecting,
        hasDigest,
        getRecord: (targetId) => directory.getRecord({ environment, targetId }),
        now: now(),
      },
    );
  }

  #getCallees({ environment, service }: ServiceName): readonly string[] {
    return this.#options.getParts(environment)?.getCallees(service) ?? [];
  }

  #getCallers({ environment, service }: ServiceName): readonly string[] {
    const parts = this.#options.getParts(environment);
    return [service, ...parts?.getCallers(service) ?? []];
  }
}

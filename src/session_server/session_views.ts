import {
  type Directory,
  type ServiceName,
  ViewPlanner,
} from "../membership/mod.ts";
import type { DocumentParts } from "./document_parts.ts";
import type { NodeSession } from "./node_session.ts";
import type { SessionRegistry } from "./session_registry.ts";

/** Dependencies of {@link SessionViews}. */
export interface SessionViewsOptions {
  readonly directory: Directory;
  readonly sessions: SessionRegistry;
  getParts(environment: string): DocumentParts | undefined;
  /** Gets the monotonic time, in milliseconds. */
  now(): number;
}

// Targets that change within this time are sent in one message. It adds to the
// time in which a drain reaches all nodes, which is limited to 3 s.
const flushDelayMilliseconds = 50;

/** Keeps the views of nodes up to date with the targets and the document. */
export class SessionViews {
  readonly #options: SessionViewsOptions;
  readonly #planner: ViewPlanner;
  /**
   * Call graph for which the views of open sessions were sent, by environment.
   */
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

  /**
   * Whether views may lack targets because this process started recently and
   * has not received the targets of its peers yet.
   */
  get isCollecting(): boolean {
    return this.#isCollecting;
  }

  /** Sends views to a new session. */
  open(session: NodeSession): void {
    this.#updateServices(session);
  }

  /** Sends the view of a service that a node requested. */
  request(session: NodeSession, service: string): void {
    session.requestedServices.add(service);
    this.#updateServices(session);
    session.sendFullView(service, {
      collecting: this.#isCollecting,
      now: this.#options.now(),
    });
  }

  /**
   * Updates the views of an environment to the calls that a document declares.
   */
  updateCallGraph(environment: string, { callGraphKey }: DocumentParts): void {
    // Compares with the call graph of the views that were sent, not with the
    // previous document: the handler of another message, such as a renewal, may
    // have read this revision before this call.
    if (callGraphKey === this.#callGraphKeys.get(environment)) {
      return;
    }
    this.#callGraphKeys.set(environment, callGraphKey);
    this.#planner.clear();
    for (
      const session of this.#options.sessions.getByEnvironment(environment)
    ) {
      this.#updateServices(session);
      session.viewedServices.forEach((each) => this.#send(session, each));
    }
  }

  /** Schedules the sending of changed targets, several in one message. */
  scheduleFlush(): void {
    this.#flushTimer ??= setTimeout(() => {
      this.#flushTimer = undefined;
      this.#flush();
    }, flushDelayMilliseconds);
  }

  /**
   * Sends changes, and digests of all views once no targets are missing any
   * more.
   * @param isCollecting Whether targets may still be missing.
   */
  update(isCollecting: boolean): void {
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

  /** Cancels scheduled sending. */
  stop(): void {
    clearTimeout(this.#flushTimer);
  }

  /** Sends changed targets to all sessions that have views of their service. */
  #flush(): void {
    const changed = new Map<string, ServiceName>();
    for (const name of this.#options.directory.takeChangedServices()) {
      const { environment, service } = name;
      changed.set(`${environment}\0${service}`, name);
      // The subsets of its callees depend on the nodes of the changed service.
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

  /** Updates the set of a session's views to the document. */
  #updateServices(session: NodeSession): void {
    const { sessions } = this.#options;
    const services = new Set([
      session.hello.service,
      ...this.#getCallees(session.hello),
      ...session.requestedServices,
    ]);
    for (const known of session.viewedServices) {
      if (!services.has(known)) {
        sessions.removeView(session, known);
        session.dropView(known);
      }
    }
    for (const each of services) {
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

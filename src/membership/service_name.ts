/** A service of an environment. */
export interface ServiceName {
  readonly environment: string;
  readonly service: string;
}

/** Gets a key that identifies a service across all environments. */
export function getServiceKey(name: ServiceName): string {
  return `${name.environment}\0${name.service}`;
}

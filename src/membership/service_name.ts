/** A service of an environment. */
export interface ServiceName {
  readonly environment: string;
  readonly service: string;
}

/** Gets the key of a service over all environments. */
export function getServiceKey(name: ServiceName): string {
  return `${name.environment}\0${name.service}`;
}

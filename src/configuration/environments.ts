/** Environments whose documents and state a control group manages. */
export const environments = ["trial", "production"] as const;

/** Name of an environment. */
export type Environment = (typeof environments)[number];

/** Reports whether a name is the name of an environment. */
export function isEnvironment(name: string): name is Environment {
  return environments.some((each) => each === name);
}

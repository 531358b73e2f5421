/** The environments that a control group keeps. */
export const environments = ["trial", "production"] as const;

/** Name of an environment. */
export type Environment = (typeof environments)[number];

/** Reports whether a name is that of an environment. */
export function isEnvironment(name: string): name is Environment {
  return environments.some((each) => each === name);
}

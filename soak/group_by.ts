/**
 * Groups values by a key.
 * @param values The values.
 * @param getKey Gets the key of a value.
 * @returns The values of each key, in their order.
 */
export function groupBy<Value, Key>(
  values: readonly Value[],
  getKey: (value: Value) => Key,
): Map<Key, Value[]> {
  const groups = new Map<Key, Value[]>();
  for (const value of values) {
    const key = getKey(value);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [value]);
    } else {
      group.push(value);
    }
  }
  return groups;
}

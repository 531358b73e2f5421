import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../common/mod.ts";
import { WeightedRotation } from "./weighted_rotation.ts";

const cases = [
  { weights: [90, 10], calls: 100 },
  { weights: [1, 1, 2], calls: 40 },
  { weights: [5, 0], calls: 10 },
];

for (const { weights, calls } of cases) {
  test(`a rotation of ${weights.join(":")} keeps the weights in ${calls} calls`, () => {
    const total = weights.reduce((sum, each) => sum + each, 0);
    for (let seed = 1; seed <= 20; seed++) {
      const rotation = new WeightedRotation(
        weights.map((weight, item) => ({ item, weight })),
        createSeededRandom(seed),
      );
      const counts = weights.map(() => 0);
      for (let call = 0; call < calls; call++) {
        const item = rotation.next();
        counts[item] = (counts[item] ?? 0) + 1;
      }
      weights.forEach((weight, item) => {
        const share = weight * calls / total;
        assert.ok(Math.abs((counts[item] ?? 0) - share) <= 1, `seed ${seed}`);
      });
    }
  });
}

test("many rotations that are each used once keep the weights in total", () => {
  const random = createSeededRandom(7);
  let heavy = 0;
  for (let node = 0; node < 1000; node++) {
    const rotation = new WeightedRotation(
      [{ item: "heavy", weight: 80 }, { item: "light", weight: 20 }],
      random,
    );
    heavy += rotation.next() === "heavy" ? 1 : 0;
  }
  assert.ok(heavy > 700 && heavy < 900, `${heavy} of 1000 were heavy`);
});

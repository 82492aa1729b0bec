package org.snowturn.simulation;

import org.snowturn.core.Effect;

/** Observer of every effect that the controllers of a simulation produce. */
interface EffectObserver {
  /** Observer that ignores all effects. */
  EffectObserver NONE = (atMs, node, effect) -> {};

  /**
   * Handles an effect that is about to be performed.
   *
   * @param atMs simulated time in milliseconds
   * @param node name of the controller that produced the effect
   */
  void onEffect(long atMs, String node, Effect effect);
}

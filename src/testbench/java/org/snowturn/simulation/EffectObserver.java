package org.snowturn.simulation;

import org.snowturn.core.Effect;

/** Observes every effect of the controllers in a simulation. */
interface EffectObserver {
  /** Observes nothing. */
  EffectObserver NONE = (atMs, node, effect) -> {};

  /**
   * Called before an effect is performed.
   *
   * @param atMs simulated time in milliseconds
   * @param node the controller that the effect comes from
   */
  void onEffect(long atMs, String node, Effect effect);
}

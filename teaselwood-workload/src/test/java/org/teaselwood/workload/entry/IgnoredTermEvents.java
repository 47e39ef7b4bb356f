package org.teaselwood.workload.entry;

/** Listener that ignores the end of terms. Stateless. */
final class IgnoredTermEvents implements PlacerEventHandler.TermListener {
    @Override
    public void termLost(long term) {}

    @Override
    public void placerFailed(long term) {}
}

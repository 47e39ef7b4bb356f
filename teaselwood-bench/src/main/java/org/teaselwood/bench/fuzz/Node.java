package org.teaselwood.bench.fuzz;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A simulated process. While it is paused, its steps are queued; after it is killed, its steps are dropped. Confined to
 * the thread of its virtual time.
 */
final class Node {
    private final String name;
    private final String dataCentre;
    private final Queue<Runnable> backlog = new ArrayDeque<>();
    private boolean paused;
    private boolean dead;

    Node(String name, String dataCentre) {
        this.name = name;
        this.dataCentre = dataCentre;
    }

    String name() {
        return name;
    }

    String dataCentre() {
        return dataCentre;
    }

    boolean isDead() {
        return dead;
    }

    boolean isPaused() {
        return paused;
    }

    /** Runs a step of this process: at once, on resumption if it is paused, or never if it is dead. */
    void deliver(Runnable step) {
        if (dead) {
            return;
        }
        if (paused) {
            backlog.add(step);
        } else {
            step.run();
        }
    }

    /** Runs a step of this process periodically; a paused process runs it once on resumption. */
    void repeat(VirtualTime time, long intervalMilliseconds, Runnable step) {
        time.schedule(
                intervalMilliseconds,
                () -> deliver(() -> {
                    step.run();
                    repeat(time, intervalMilliseconds, step);
                }));
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!backlog.isEmpty() && !paused && !dead) {
            backlog.poll().run();
        }
    }

    void kill() {
        dead = true;
        backlog.clear();
    }
}

package org.teaselwood.bench.fuzz;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * One simulated process: may be paused, which delays everything that it is told, and killed, after which it is told
 * nothing any more. Confined to the thread of its virtual time.
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

    /** Runs a step of this process now, or when it resumes, or never. */
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

    /** Runs a step of this process at an interval; a paused process runs it once when it resumes. */
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

package org.teaselwood.entry.placer;

import org.teaselwood.model.Answer;

/** Listener for the progress and the end of attempts. */
interface AttemptListener {
    /** Called when all parts of a job that is not idempotent hold their resources: the start marker must be written. */
    void startMarkerNeeded(Attempt attempt);

    /** Called when all parts have started. */
    void started(Attempt attempt);

    /** Called when the newest checkpoint that all parts have advanced. */
    void checkpointed(Attempt attempt);

    /** Called when all parts succeeded, with their joined answers. */
    void succeeded(Attempt attempt, Answer answer);

    /** Called when the attempt did not succeed and no part holds resources. */
    void ended(Attempt attempt);
}

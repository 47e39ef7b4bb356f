package org.teaselwood.entry.placer;

import org.teaselwood.model.Answer;

/** Told what becomes of attempts. */
interface AttemptListener {
    /** All parts hold their resources and the job is not repeatable: write the starting mark. */
    void markNeeded(Attempt attempt);

    /** All parts run. */
    void started(Attempt attempt);

    /** A part took a checkpoint. */
    void checkpointed(Attempt attempt);

    /** All parts finished; their answers were joined. */
    void succeeded(Attempt attempt, Answer answer);

    /** The attempt holds nothing any more and did not succeed. */
    void ended(Attempt attempt);
}

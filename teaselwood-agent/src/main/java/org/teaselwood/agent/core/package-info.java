/**
 * The agent core: a deterministic state machine that owns the resources and the running parts of one backend server.
 */
package org.teaselwood.agent.core;

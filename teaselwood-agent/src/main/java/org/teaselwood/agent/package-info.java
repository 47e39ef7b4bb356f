/** The process beside each backend server. */
package org.teaselwood.agent;

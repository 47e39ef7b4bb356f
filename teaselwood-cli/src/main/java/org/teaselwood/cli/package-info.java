/** Command line of operators and callers. */
package org.teaselwood.cli;

/** Entry process: the threads, connections and clients around the entry core. */
package org.teaselwood.entry.process;

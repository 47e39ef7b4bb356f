/** HTTP API of an entry for callers and operators. */
package org.teaselwood.entry.http;

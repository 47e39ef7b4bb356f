/** HTTP for callers and operators. */
package org.teaselwood.entry.http;

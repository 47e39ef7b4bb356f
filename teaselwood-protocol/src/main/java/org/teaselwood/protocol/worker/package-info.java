/** HTTP interface of the worker: calls, replies and their encoding. */
package org.teaselwood.protocol.worker;

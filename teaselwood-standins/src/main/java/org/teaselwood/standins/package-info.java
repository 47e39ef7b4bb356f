/** Stand-ins for the key-value service and the worker. */
package org.teaselwood.standins;

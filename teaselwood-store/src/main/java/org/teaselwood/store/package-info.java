/** Interface of the key-value service. */
package org.teaselwood.store;

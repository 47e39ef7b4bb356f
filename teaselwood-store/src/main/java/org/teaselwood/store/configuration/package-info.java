/** The operators' configuration as documents in the key-value service, and its rules and differences. */
package org.teaselwood.store.configuration;

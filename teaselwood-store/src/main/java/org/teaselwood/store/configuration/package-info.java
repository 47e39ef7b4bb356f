/** Storage of the operators' configuration in the key-value service, its validation rules and its differences. */
package org.teaselwood.store.configuration;

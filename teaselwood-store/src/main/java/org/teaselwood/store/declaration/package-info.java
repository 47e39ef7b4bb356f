/** Operators' and callers' declarations in INI. */
package org.teaselwood.store.declaration;

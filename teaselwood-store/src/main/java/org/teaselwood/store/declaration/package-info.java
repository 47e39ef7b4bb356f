/** INI files of operators (declarations) and callers (submissions). */
package org.teaselwood.store.declaration;

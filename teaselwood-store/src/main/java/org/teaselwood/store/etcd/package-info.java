/** Client of the key-value service through etcd's v3 JSON gateway. */
package org.teaselwood.store.etcd;

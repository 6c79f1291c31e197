//! The contents of a simulated disk: for each file and folder the durable contents, the visible contents, and the pending
//! writes between the two.

use super::power_loss::partial_write;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// A write to a file.
#[derive(Clone)]
pub enum Write {
    Truncate,
    Data { offset: usize, bytes: Vec<u8> },
}

impl Write {
    fn apply_to(&self, contents: &mut Vec<u8>) {
        match self {
            Write::Truncate => contents.clear(),
            Write::Data { offset, bytes } => {
                let end = offset + bytes.len();
                contents.resize(contents.len().max(end), 0);
                contents[*offset..end].copy_from_slice(bytes);
            }
        }
    }
}

/// The index of an inode in its image.
type InodeId = usize;

/// A change to the directory entries of a folder.
#[derive(Clone)]
enum NameChange {
    Link { name: String, inode: InodeId },
    Unlink { name: String },
    Rename { from: String, to: String, inode: InodeId },
}

impl NameChange {
    fn apply_to(&self, names: &mut BTreeMap<String, InodeId>) {
        match self {
            NameChange::Link { name, inode } => {
                names.insert(name.clone(), *inode);
            }
            NameChange::Unlink { name } => {
                names.remove(name);
            }
            NameChange::Rename { from, to, inode } => {
                names.remove(from);
                names.insert(to.clone(), *inode);
            }
        }
    }
}

/// A file or folder. `durable` is guaranteed to survive a power loss, `visible` is what a reader sees, and `pending` has the
/// changes that lead from `durable` to `visible`.
#[derive(Clone)]
pub enum Inode {
    File { durable: Vec<u8>, visible: Vec<u8>, pending: Vec<Write> },
    Folder(Folder),
}

#[derive(Clone, Default)]
pub struct Folder {
    durable: BTreeMap<String, InodeId>,
    pub visible: BTreeMap<String, InodeId>,
    pending: Vec<NameChange>,
}

impl Inode {
    fn empty_file() -> Inode {
        Inode::File { durable: Vec::new(), visible: Vec::new(), pending: Vec::new() }
    }
}

/// All files and folders of a disk. The root is the data folder's parent.
#[derive(Clone)]
pub struct DiskImage {
    inodes: Vec<Inode>,
}

impl DiskImage {
    pub fn empty() -> DiskImage {
        DiskImage { inodes: vec![Inode::Folder(Folder::default())] }
    }

    /// Returns the inode that is visible at a path.
    pub fn get(&self, path: &Path) -> Option<&Inode> {
        self.find(path).map(|id| &self.inodes[id])
    }

    fn find(&self, path: &Path) -> Option<InodeId> {
        path.iter().skip(1).try_fold(0, |id, part| match &self.inodes[id] {
            Inode::Folder(folder) => folder.visible.get(part.to_str()?).copied(),
            Inode::File { .. } => None,
        })
    }

    fn find_existing(&self, path: &Path) -> io::Result<InodeId> {
        self.find(path).ok_or(io::ErrorKind::NotFound.into())
    }

    fn change_names(&mut self, path: &Path, change: NameChange) -> io::Result<()> {
        let id = self.find_existing(path.parent().unwrap())?;
        let Inode::Folder(folder) = &mut self.inodes[id] else { panic!("not a folder") };
        change.apply_to(&mut folder.visible);
        folder.pending.push(change);
        Ok(())
    }

    fn create(&mut self, path: &Path, inode: Inode) -> io::Result<InodeId> {
        self.inodes.push(inode);
        let id = self.inodes.len() - 1;
        self.change_names(path, NameChange::Link { name: file_name(path), inode: id }).map(|()| id)
    }

    pub fn create_folder(&mut self, path: &Path) -> io::Result<()> {
        self.create(path, Inode::Folder(Folder::default())).map(drop)
    }

    /// Writes to a file, creating it if it is missing.
    pub fn write(&mut self, path: &Path, write: Write) -> io::Result<()> {
        let id = match self.find(path) {
            Some(id) => id,
            None => self.create(path, Inode::empty_file())?,
        };
        let Inode::File { visible, pending, .. } = &mut self.inodes[id] else { panic!("not a file") };
        write.apply_to(visible);
        pending.push(write);
        Ok(())
    }

    pub fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        let inode = self.find_existing(from)?;
        self.change_names(from, NameChange::Rename { from: file_name(from), to: file_name(to), inode })
    }

    pub fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.find_existing(path)?;
        self.change_names(path, NameChange::Unlink { name: file_name(path) })
    }

    /// Syncs a file or folder. If `reaches_disk` is false, the pending changes stay visible but are never made durable,
    /// even by a later sync.
    pub fn sync(&mut self, path: &Path, reaches_disk: bool) -> io::Result<()> {
        let id = self.find_existing(path)?;
        match &mut self.inodes[id] {
            Inode::File { durable, pending, .. } => {
                pending.drain(..).filter(|_| reaches_disk).for_each(|write| write.apply_to(durable));
            }
            Inode::Folder(folder) => {
                let pending = folder.pending.drain(..).filter(|_| reaches_disk);
                pending.for_each(|change| change.apply_to(&mut folder.durable));
            }
        }
        Ok(())
    }

    /// Returns a disk that a power loss may leave: of each pending write, all, part or nothing is durable. `choose(n)`
    /// makes each decision by returning a number below `n`.
    pub fn after_power_loss(&self, choose: &mut dyn FnMut(u32) -> u32) -> DiskImage {
        let mut image = self.clone();
        image.lose_pending(0, choose);
        image
    }

    fn lose_pending(&mut self, id: InodeId, choose: &mut dyn FnMut(u32) -> u32) {
        match &mut self.inodes[id] {
            Inode::File { durable, visible, pending } => {
                for write in pending.drain(..) {
                    if let Some(write) = partial_write(write, choose) {
                        write.apply_to(durable);
                    }
                }
                visible.clone_from(durable);
            }
            Inode::Folder(Folder { durable, visible, pending }) => {
                for change in pending.drain(..) {
                    if choose(2) == 0 {
                        change.apply_to(durable);
                    }
                }
                visible.clone_from(durable);
                for id in durable.clone().into_values() {
                    self.lose_pending(id, choose);
                }
            }
        }
    }
}

fn file_name(path: &Path) -> String {
    path.file_name().unwrap().to_str().unwrap().to_string()
}
